package faultproxy

import (
	"fmt"
	"io"
	"net/http"

	"celerypoint.example/celerypoint/httpserver"
	"celerypoint.example/celerypoint/wire"
)

// Handler serves the control port: GET and POST /faults with Faults, and GET
// /counters with Counters.
func (p *Proxy) Handler() http.Handler {
	m := http.NewServeMux()
	m.HandleFunc("GET /faults", func(w http.ResponseWriter, _ *http.Request) {
		httpserver.JSON(w, http.StatusOK, p.Faults())
	})
	m.HandleFunc("POST /faults", p.postFaults)
	m.HandleFunc("GET /counters", func(w http.ResponseWriter, _ *http.Request) {
		httpserver.JSON(w, http.StatusOK, p.Counters())
	})
	return m
}

func (p *Proxy) postFaults(w http.ResponseWriter, r *http.Request) {
	text, err := io.ReadAll(r.Body)
	if err == nil {
		var f Faults
		if err = wire.Decode(text, &f); err == nil {
			err = p.SetFaults(f)
		}
	}
	if err != nil {
		httpserver.Reply(w, http.StatusBadRequest, "text/plain; charset=utf-8", []byte(fmt.Sprintf("faults: %v\n", err)))
		return
	}
	httpserver.JSON(w, http.StatusOK, p.Faults())
}
