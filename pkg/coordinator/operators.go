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

// Timeouts of the HTTP server for operators and backend servers.
const (
	operatorHeaderTimeout = 5 * time.Second
	operatorReadTimeout   = 10 * time.Second
	operatorIdleTimeout   = 30 * time.Second
)

// OperatorServer is the HTTP server for operators and backend servers.
type OperatorServer struct {
	address string
	server  *http.Server
	log     *slog.Logger
}

// NewOperatorServer returns a server that is not started yet.
func NewOperatorServer(address string, handler http.Handler, log *slog.Logger) *OperatorServer {
	return &OperatorServer{address: address, log: log, server: &http.Server{
		Handler: handler, ReadHeaderTimeout: operatorHeaderTimeout, ReadTimeout: operatorReadTimeout, IdleTimeout: operatorIdleTimeout,
		ErrorLog: slog.NewLogLogger(log.Handler(), slog.LevelDebug),
	}}
}

// ServiceName implements kernel.Service.
func (o *OperatorServer) ServiceName() string { return "operators" }

// Start listens on the address and serves requests in the background.
func (o *OperatorServer) Start(ctx context.Context) error {
	var lc net.ListenConfig
	listener, err := lc.Listen(ctx, "tcp", o.address)
	if err != nil {
		return eris.Wrapf(err, "listen for operators on %s", o.address)
	}
	go func() {
		if err := o.server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
			o.log.Error("HTTP server for operators failed", "address", o.address, "error", err)
		}
	}()
	return nil
}

// Stop shuts the server down after the open requests are finished or ctx ends.
func (o *OperatorServer) Stop(ctx context.Context) error {
	return eris.Wrap(o.server.Shutdown(ctx), "stop serving operators")
}
