package coordinator

import (
	"context"
	"errors"
	"log/slog"
	"net"
	"net/http"
	"time"

	"github.com/rotisserie/eris"
)

// Limits of the server for operators and backend servers.
const (
	operatorHeaderLimit = 5 * time.Second
	operatorBodyLimit   = 10 * time.Second
	operatorIdleLimit   = 30 * time.Second
)

// Operators serves operators and backend servers over HTTP.
type Operators struct {
	address string
	server  *http.Server
	log     *slog.Logger
}

// NewOperators returns a server that is not started.
func NewOperators(address string, handler http.Handler, log *slog.Logger) *Operators {
	return &Operators{address: address, log: log, server: &http.Server{
		Handler: handler, ReadHeaderTimeout: operatorHeaderLimit, ReadTimeout: operatorBodyLimit, IdleTimeout: operatorIdleLimit,
		ErrorLog: slog.NewLogLogger(log.Handler(), slog.LevelDebug),
	}}
}

// ServiceName implements kernel.Service.
func (o *Operators) ServiceName() string { return "operators" }

// Start binds the address.
func (o *Operators) Start(ctx context.Context) error {
	var lc net.ListenConfig
	listener, err := lc.Listen(ctx, "tcp", o.address)
	if err != nil {
		return eris.Wrapf(err, "listen for operators on %s", o.address)
	}
	go func() {
		if err := o.server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
			o.log.Error("operator listener failed", "error", err)
		}
	}()
	return nil
}

// Stop finishes open requests.
func (o *Operators) Stop(ctx context.Context) error {
	return eris.Wrap(o.server.Shutdown(ctx), "stop serving operators")
}
