package node

import (
	"context"
	"errors"
	"log/slog"
	"net"
	"sync/atomic"
	"syscall"
	"time"
)

const (
	acceptRetryDelay     = 20 * time.Millisecond // delay after an error of accept
	acceptErrorLogPeriod = time.Second           // minimum time between two log lines about errors of accept
	listenRetryTime      = 3 * time.Second       // maximum time for which a start waits until it can listen
	listenRetryDelay     = 50 * time.Millisecond
)

// acceptRetry delays a listener after an error of accept, and logs and counts the errors.
type acceptRetry struct {
	errors   atomic.Int64
	loggedAt time.Time // time of the last log line; used by the accepting goroutine only
}

// wait waits for acceptRetryDelay. It returns false if ctx ends.
func (r *acceptRetry) wait(ctx context.Context, err error) bool {
	total := r.errors.Add(1)
	if time.Since(r.loggedAt) >= acceptErrorLogPeriod {
		r.loggedAt = time.Now()
		slog.Warn("accepting a connection failed, going on", "error", err, "total", total)
	}
	select {
	case <-ctx.Done():
		return false
	case <-time.After(acceptRetryDelay):
		return true
	}
}

// isShortage reports whether a system call failed for want of something that other processes may return at any time.
func isShortage(err error) bool {
	for _, shortage := range []syscall.Errno{syscall.EMFILE, syscall.ENFILE, syscall.ENOBUFS, syscall.ENOMEM, syscall.EAGAIN, syscall.EINTR} {
		if errors.Is(err, shortage) {
			return true
		}
	}
	return false
}

// listenRetrying listens at an address. During a shortage it tries again for listenRetryTime.
func listenRetrying(address string) (net.Listener, error) {
	for deadline := time.Now().Add(listenRetryTime); ; time.Sleep(listenRetryDelay) {
		l, err := net.Listen("tcp", address)
		if err == nil || !isShortage(err) || time.Now().After(deadline) {
			return l, err
		}
		slog.Warn("listening failed, trying again", "address", address, "error", err)
	}
}

// ignoringEINTR repeats a system call while a signal interrupts it.
func ignoringEINTR(call func() (int, error)) (n int, err error) {
	for {
		n, err = call()
		if !errors.Is(err, syscall.EINTR) {
			return n, err
		}
	}
}
