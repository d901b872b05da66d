package archiver

import (
	"errors"
	"net/http"
	"strconv"

	"github.com/gorilla/mux"

	"banyanquay/internal/provider"
	"banyanquay/internal/standin/server"
)

// VMs is the response body of GET /vms.
type VMs struct {
	VMs []provider.VM `json:"vms"`
}

// Handler serves the platform over HTTP.
func (a *Archiver) Handler() http.Handler {
	r := mux.NewRouter().UseEncodedPath()
	r.HandleFunc("/log/{stream}/records", a.serveAppend).Methods(http.MethodPost)
	r.HandleFunc("/log/{stream}/records", a.serveRead).Methods(http.MethodGet)
	r.HandleFunc("/vms", a.serveList).Methods(http.MethodGet)
	r.HandleFunc("/vms/{address}", a.serveSet).Methods(http.MethodPut)
	r.HandleFunc("/vms/{address}", a.serveDrop).Methods(http.MethodDelete)
	r.Handle("/control", a.control).Methods(http.MethodGet, http.MethodPost)
	return r
}

// serveAppend appends the request body as a record. If the reply is to be lost,
// it closes the connection.
func (a *Archiver) serveAppend(w http.ResponseWriter, r *http.Request) {
	data, err := server.Body(w, r)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	pos, err := a.append(r.Context(), server.Var(r, "stream"), data)
	switch {
	case err == nil:
		server.Answer(w, http.StatusOK, pos)
	case errors.Is(err, errReplyLost):
		server.Abort()
	default:
		http.Error(w, err.Error(), http.StatusServiceUnavailable)
	}
}

func (a *Archiver) serveRead(w http.ResponseWriter, r *http.Request) {
	from, err := strconv.ParseUint(r.FormValue("from"), 10, 64)
	if err != nil {
		http.Error(w, "from: "+err.Error(), http.StatusBadRequest)
		return
	}
	wait, err := strconv.ParseInt(r.FormValue("wait"), 10, 64)
	if err != nil {
		http.Error(w, "wait: "+err.Error(), http.StatusBadRequest)
		return
	}
	page, err := a.read(r.Context(), server.Var(r, "stream"), provider.Offset(from), millis(wait))
	if err != nil {
		http.Error(w, err.Error(), http.StatusServiceUnavailable)
		return
	}
	server.Answer(w, http.StatusOK, page)
}

func (a *Archiver) serveList(w http.ResponseWriter, r *http.Request) {
	vms, err := a.list(r.Context())
	if err != nil {
		http.Error(w, err.Error(), http.StatusServiceUnavailable)
		return
	}
	server.Answer(w, http.StatusOK, VMs{VMs: vms})
}

func (a *Archiver) serveSet(w http.ResponseWriter, r *http.Request) {
	vm, err := server.Decode[provider.VM](w, r)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	vm.Address = server.Var(r, "address")
	a.SetVM(vm)
	server.Answer(w, http.StatusOK, vm)
}

func (a *Archiver) serveDrop(w http.ResponseWriter, r *http.Request) {
	a.DropVM(server.Var(r, "address"))
	server.Answer(w, http.StatusOK, struct{}{})
}
