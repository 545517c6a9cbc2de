package main

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

// serverCores is the number of requests that a rating server works on at once.
const serverCores = 3

// serverBuffer is the size of the kernel's read buffer of a rating server's connection, in bytes. It is set so that a play does
// not depend on the machine's default.
const serverBuffer = 64 << 10

// run is a request that a rating server got whole.
type run struct {
	server string
	began  time.Time // when its head had come
	whole  time.Time // when its last byte had come
}

// server is a rating server: a process of this program, started by startFleet.
type server struct {
	target
	cmd *exec.Cmd
}

// fleet is the rating servers of a case and what they ran.
type fleet struct {
	record  *record
	servers []*server

	mu   sync.Mutex
	runs map[string][]run // by request ID
}

// targets returns the entries of the servers in discovery's list.
func (f *fleet) targets() []target {
	var all []target
	for _, s := range f.servers {
		all = append(all, s.target)
	}
	return all
}

// ran returns the runs of a request.
func (f *fleet) ran(id string) []run {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.runs[id]
}

// startFleet starts a rating server in each of the zones. Each request costs them the given work.
func (p *play) startFleet(zones []string, work time.Duration) (*fleet, error) {
	f := &fleet{record: p.record, runs: map[string][]run{}}
	for i, zone := range zones {
		s := &server{target: target{UID: "s-" + strconv.Itoa(i), Endpoint: freeAddress(), Zone: zone, Model: "std-3core", Group: i,
			State: "up", Capacity: 1}}
		s.cmd = exec.Command(os.Args[0], "server", s.Endpoint, work.String())
		s.cmd.Stderr = os.Stderr
		out, err := s.cmd.StdoutPipe()
		if err != nil {
			return nil, err
		}
		if err := p.start(s.cmd); err != nil {
			return nil, err
		}
		f.servers = append(f.servers, s)
		lines := bufio.NewScanner(out)
		if !lines.Scan() || lines.Text() != "serving" {
			return nil, fmt.Errorf("rating server %s does not serve: %q", s.UID, lines.Text())
		}
		go func() {
			for lines.Scan() {
				f.note(s.UID, lines.Text())
			}
		}()
	}
	return f, nil
}

// note records a line of a server: what happened, the request's ID, and the Unix times in microseconds at which its head and
// its last byte had come.
func (f *fleet) note(name, line string) {
	fields := strings.Fields(line)
	if len(fields) != 4 {
		return
	}
	began, _ := strconv.ParseInt(fields[2], 10, 64)
	whole, _ := strconv.ParseInt(fields[3], 10, 64)
	f.record.printf("server %s: %s %s", name, fields[0], fields[1])
	if fields[0] == "runs" {
		f.mu.Lock()
		defer f.mu.Unlock()
		f.runs[fields[1]] = append(f.runs[fields[1]], run{name, time.UnixMicro(began), time.UnixMicro(whole)})
	}
}

// rated is the body of a rating server's answer to a request.
func rated(id string) string { return "rated " + id + "\n" }

// serveRating is the process of a rating server.
func serveRating(address string, work time.Duration) error {
	listen := net.ListenConfig{Control: func(_, _ string, c syscall.RawConn) (err error) {
		if controlErr := c.Control(func(fd uintptr) {
			err = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, serverBuffer)
		}); controlErr != nil {
			return controlErr
		}
		return err
	}}
	l, err := listen.Listen(context.Background(), "tcp", address)
	if err != nil {
		return err
	}
	fmt.Println("serving")
	cores := make(chan struct{}, serverCores)
	return http.Serve(l, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/healthz" || r.URL.Path == "/load" {
			return
		}
		began, id := time.Now().UnixMicro(), r.Header.Get("X-Correlation-Id")
		if id == "" {
			w.WriteHeader(http.StatusNotFound)
			return
		}
		if _, err := io.Copy(io.Discard, r.Body); err != nil {
			fmt.Println("not-whole", id, began, 0)
			return
		}
		fmt.Println("runs", id, began, time.Now().UnixMicro())
		cores <- struct{}{}
		time.Sleep(work)
		<-cores
		fmt.Println("answers", id, began, 0)
		_, _ = io.WriteString(w, rated(id))
	}))
}
