package main

import (
	"encoding/json"
	"net"
	"net/http"
	"time"
)

// target is one entry of discovery's list.
type target struct {
	UID      string  `json:"uid"`
	Endpoint string  `json:"endpoint"`
	Zone     string  `json:"az"`
	Model    string  `json:"model"`
	Group    int     `json:"pod_group"`
	State    string  `json:"state"`
	Capacity float64 `json:"capacity_hint"`
	BootMS   int64   `json:"boot_ms"`
}

// list is a message of discovery.
type list struct {
	Rev     int64    `json:"rev"`
	All     bool     `json:"all"`
	Targets []target `json:"targets"`
}

// startDiscovery serves a list that never changes, and watches of it. It returns its address.
func startDiscovery(targets []target) (string, error) {
	whole, err := json.Marshal(list{Rev: 1, All: true, Targets: targets})
	if err != nil {
		return "", err
	}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	handler := func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path != "/v1/servers" {
			w.WriteHeader(http.StatusNotFound)
			return
		}
		_, _ = w.Write(append(whole, '\n'))
		if r.URL.Query().Get("watch") != "1" {
			return
		}
		for r.Context().Err() == nil { // an empty line every 2 s, as nothing changes
			_ = http.NewResponseController(w).Flush()
			select {
			case <-r.Context().Done():
			case <-time.After(2 * time.Second):
				_, _ = w.Write([]byte("\n"))
			}
		}
	}
	go func() { _ = http.Serve(l, http.HandlerFunc(handler)) }()
	return l.Addr().String(), nil
}
