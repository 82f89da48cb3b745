// Package kernel is the service container of every process: it registers services
// by name, looks them up by name and manages their life cycle.
package kernel

import (
	"context"
	"log/slog"
	"sync"

	"github.com/rotisserie/eris"
)

// Service is a named component of a process. A service may also implement
// Provisioner, Validator, Starter and Stopper. The kernel runs each of these phases
// for all services before the next, in the order of registration; Stop runs in
// reverse order.
type Service interface {
	// ServiceName returns the name by which other services look up this one.
	ServiceName() string
}

// Provisioner is implemented by services that look up other services.
type Provisioner interface {
	Provision(k *Kernel) error
}

// Validator is implemented by services that validate their settings before they
// are started.
type Validator interface {
	Validate() error
}

// Starter is implemented by services that run in the background. Start returns
// once the service accepts calls; ctx ends when the process exits.
type Starter interface {
	Start(ctx context.Context) error
}

// Stopper is implemented by services with work to finish at a planned stop. Stop
// returns when the service has no request in flight or ctx has ended.
type Stopper interface {
	Stop(ctx context.Context) error
}

// Kernel holds the services of one process.
type Kernel struct {
	mu                sync.RWMutex
	services          map[string]Service
	registrationOrder []Service
	bus               *Bus
	log               *slog.Logger
}

// New returns a kernel without services.
func New(log *slog.Logger) *Kernel {
	return &Kernel{services: map[string]Service{}, bus: newBus(log), log: log}
}

// Log returns the logger of the process.
func (k *Kernel) Log() *slog.Logger { return k.log }

// Bus returns the in-process event bus.
func (k *Kernel) Bus() *Bus { return k.bus }

// Register adds a service. It fails if the name is already registered.
func (k *Kernel) Register(s Service) error {
	k.mu.Lock()
	defer k.mu.Unlock()
	name := s.ServiceName()
	if _, ok := k.services[name]; ok {
		return eris.Errorf("service %q is registered twice", name)
	}
	k.services[name] = s
	k.registrationOrder = append(k.registrationOrder, s)
	return nil
}

// Lookup returns the service with the given name as type T. It fails if the
// service is not registered or does not implement T.
func Lookup[T any](k *Kernel, name string) (T, error) {
	k.mu.RLock()
	defer k.mu.RUnlock()
	var zero T
	s, ok := k.services[name]
	if !ok {
		return zero, eris.Errorf("service %q is not registered", name)
	}
	typed, ok := s.(T)
	if !ok {
		return zero, eris.Errorf("service %q is a %T and does not implement %T", name, s, &zero)
	}
	return typed, nil
}

// Start provisions, validates and starts all services. If a service fails to start,
// the services started before it are stopped.
func (k *Kernel) Start(ctx context.Context) error {
	for _, s := range k.registrationOrder {
		if provisioner, ok := s.(Provisioner); ok {
			if err := provisioner.Provision(k); err != nil {
				return eris.Wrapf(err, "provision %s", s.ServiceName())
			}
		}
	}
	for _, s := range k.registrationOrder {
		if validator, ok := s.(Validator); ok {
			if err := validator.Validate(); err != nil {
				return eris.Wrapf(err, "validate %s", s.ServiceName())
			}
		}
	}
	for i, s := range k.registrationOrder {
		if starter, ok := s.(Starter); ok {
			if err := starter.Start(ctx); err != nil {
				k.stop(ctx, k.registrationOrder[:i])
				return eris.Wrapf(err, "start %s", s.ServiceName())
			}
		}
	}
	return nil
}

// Stop stops all services in the reverse order of registration.
func (k *Kernel) Stop(ctx context.Context) {
	k.stop(ctx, k.registrationOrder)
	k.bus.close()
}

// stop stops the given services in reverse order and logs errors.
func (k *Kernel) stop(ctx context.Context, services []Service) {
	for i := len(services) - 1; i >= 0; i-- {
		stopper, ok := services[i].(Stopper)
		if !ok {
			continue
		}
		if err := stopper.Stop(ctx); err != nil {
			k.log.Warn("service did not stop cleanly", "service", services[i].ServiceName(), "error", err)
		}
	}
}
