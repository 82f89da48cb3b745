// Package kernel is the micro-kernel of every process: services are registered
// by name, find each other by name and share one life cycle.
package kernel

import (
	"context"
	"log/slog"
	"sync"

	"github.com/rotisserie/eris"
)

// Service is a named part of a process. A service may also implement
// Provisioner, Validator, Starter and Stopper; the kernel calls them in this
// order for all services, in the order of registration, and Stop in reverse.
type Service interface {
	// ServiceName returns the name under which other services find this one.
	ServiceName() string
}

// Provisioner is implemented by services that look up other services.
type Provisioner interface {
	Provision(k *Kernel) error
}

// Validator is implemented by services that check their settings before start.
type Validator interface {
	Validate() error
}

// Starter is implemented by services that run in the background. Start returns
// once the service is ready to be called; ctx ends when the process exits.
type Starter interface {
	Start(ctx context.Context) error
}

// Stopper is implemented by services that need a graceful shutdown. Stop
// returns when no request of the service is in flight or ctx has ended.
type Stopper interface {
	Stop(ctx context.Context) error
}

// Kernel holds the services of one process.
type Kernel struct {
	mu       sync.RWMutex
	services map[string]Service
	order    []Service
	bus      *Bus
	log      *slog.Logger
}

// New returns a kernel without services.
func New(log *slog.Logger) *Kernel {
	return &Kernel{services: map[string]Service{}, bus: newBus(log), log: log}
}

// Log returns the logger of the process.
func (k *Kernel) Log() *slog.Logger { return k.log }

// Bus returns the in-process event bus.
func (k *Kernel) Bus() *Bus { return k.bus }

// Register adds a service. Two services of one name are an error.
func (k *Kernel) Register(s Service) error {
	k.mu.Lock()
	defer k.mu.Unlock()
	name := s.ServiceName()
	if _, ok := k.services[name]; ok {
		return eris.Errorf("service %q is registered twice", name)
	}
	k.services[name] = s
	k.order = append(k.order, s)
	return nil
}

// Lookup returns the service of the given name as type T. It fails when no
// such service is registered or it does not implement T.
func Lookup[T any](k *Kernel, name string) (T, error) {
	k.mu.RLock()
	defer k.mu.RUnlock()
	var zero T
	s, ok := k.services[name]
	if !ok {
		return zero, eris.Errorf("service %q is not registered", name)
	}
	t, ok := s.(T)
	if !ok {
		return zero, eris.Errorf("service %q is a %T and does not implement %T", name, s, &zero)
	}
	return t, nil
}

// Start provisions, validates and starts all services. On an error the
// services already started are stopped again.
func (k *Kernel) Start(ctx context.Context) error {
	for _, s := range k.order {
		if p, ok := s.(Provisioner); ok {
			if err := p.Provision(k); err != nil {
				return eris.Wrapf(err, "provision %s", s.ServiceName())
			}
		}
	}
	for _, s := range k.order {
		if v, ok := s.(Validator); ok {
			if err := v.Validate(); err != nil {
				return eris.Wrapf(err, "validate %s", s.ServiceName())
			}
		}
	}
	for i, s := range k.order {
		if st, ok := s.(Starter); ok {
			if err := st.Start(ctx); err != nil {
				k.stop(ctx, k.order[:i])
				return eris.Wrapf(err, "start %s", s.ServiceName())
			}
		}
	}
	return nil
}

// Stop stops all services in the reverse order of registration.
func (k *Kernel) Stop(ctx context.Context) {
	k.stop(ctx, k.order)
	k.bus.close()
}

func (k *Kernel) stop(ctx context.Context, services []Service) {
	for i := len(services) - 1; i >= 0; i-- {
		st, ok := services[i].(Stopper)
		if !ok {
			continue
		}
		if err := st.Stop(ctx); err != nil {
			k.log.Warn("service did not stop cleanly", "service", services[i].ServiceName(), "error", err)
		}
	}
}
