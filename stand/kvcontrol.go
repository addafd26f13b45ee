package stand

import (
	"encoding/json"
	"net/http"
	"time"

	"github.com/gorilla/mux"
)

const maxControlBytes = 1 << 20

// kvFaultsWire is the JSON form of [KVFaults].
type kvFaultsWire struct {
	Refuse          bool    `json:"refuse"`
	Hang            bool    `json:"hang"`
	DelayMillis     int64   `json:"delayMillis"`
	LoseAnswers     int     `json:"loseAnswers"`
	LoseShare       float64 `json:"loseShare"`
	LateWrites      int     `json:"lateWrites"`
	LateDelayMillis int64   `json:"lateDelayMillis"`
	CallsPerSecond  float64 `json:"callsPerSecond"`
	WritesPerSecond float64 `json:"writesPerSecond"`
}

// kvCountsWire is the JSON form of [KVCounts].
type kvCountsWire struct {
	Calls     map[KVKind]int64 `json:"calls"`
	Total     int64            `json:"total"`
	Writes    int64            `json:"writes"`
	Watching  int64            `json:"watching"`
	Throttled int64            `json:"throttled"`
}

// Control returns the HTTP interface that controls the service while it runs:
//
//	GET  /faults       returns the injected faults
//	POST /faults       replaces them; absent fields are reset to zero
//	GET  /counts       returns the calls by kind
//	POST /watches/cut  makes every waiting watch fail
func (kv *KV) Control() http.Handler {
	router := mux.NewRouter()
	router.HandleFunc("/faults", kv.serveFaults).Methods(http.MethodGet)
	router.HandleFunc("/faults", kv.serveSetFaults).Methods(http.MethodPost)
	router.HandleFunc("/counts", kv.serveCounts).Methods(http.MethodGet)
	router.HandleFunc("/watches/cut", kv.serveCut).Methods(http.MethodPost)
	return router
}

func (kv *KV) serveFaults(writer http.ResponseWriter, _ *http.Request) {
	faults := kv.Faults()
	writeJSON(writer, kvFaultsWire{
		Refuse:          faults.Refuse,
		Hang:            faults.Hang,
		DelayMillis:     faults.Delay.Milliseconds(),
		LoseAnswers:     faults.LoseAnswers,
		LoseShare:       faults.LoseShare,
		LateWrites:      faults.LateWrites,
		LateDelayMillis: faults.LateDelay.Milliseconds(),
		CallsPerSecond:  faults.CallsPerSecond,
		WritesPerSecond: faults.WritesPerSecond,
	})
}

func (kv *KV) serveSetFaults(writer http.ResponseWriter, request *http.Request) {
	var wire kvFaultsWire
	if !readJSON(writer, request, &wire) {
		return
	}
	kv.SetFaults(KVFaults{
		Refuse:          wire.Refuse,
		Hang:            wire.Hang,
		Delay:           time.Duration(wire.DelayMillis) * time.Millisecond,
		LoseAnswers:     wire.LoseAnswers,
		LoseShare:       wire.LoseShare,
		LateWrites:      wire.LateWrites,
		LateDelay:       time.Duration(wire.LateDelayMillis) * time.Millisecond,
		CallsPerSecond:  wire.CallsPerSecond,
		WritesPerSecond: wire.WritesPerSecond,
	})
	kv.serveFaults(writer, request)
}

func (kv *KV) serveCounts(writer http.ResponseWriter, _ *http.Request) {
	counts := kv.Counts()
	writeJSON(writer, kvCountsWire{
		Calls:     counts.Calls,
		Total:     counts.Total(),
		Writes:    counts.Writes(),
		Watching:  counts.Watching,
		Throttled: counts.Throttled,
	})
}

func (kv *KV) serveCut(writer http.ResponseWriter, _ *http.Request) {
	kv.CutWatches()
	writer.WriteHeader(http.StatusNoContent)
}

// writeJSON writes value as the JSON body of a response.
func writeJSON(writer http.ResponseWriter, value any) {
	body, err := json.Marshal(value)
	if err != nil {
		http.Error(writer, err.Error(), http.StatusInternalServerError)
		return
	}
	writer.Header().Set("Content-Type", "application/json")
	writer.Write(body)
}

// readJSON decodes a request's JSON body into value and reports whether it
// succeeded. On failure it responds with the error.
func readJSON(writer http.ResponseWriter, request *http.Request, value any) bool {
	decoder := json.NewDecoder(http.MaxBytesReader(writer, request.Body, maxControlBytes))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(value); err != nil {
		http.Error(writer, err.Error(), http.StatusBadRequest)
		return false
	}
	return true
}
