package node

import (
	"net/http"

	"github.com/gorilla/mux"

	"github.com/basilkeel/basilkeel/burn"
	"github.com/basilkeel/basilkeel/call"
	"github.com/basilkeel/basilkeel/clock"
	"github.com/basilkeel/basilkeel/config"
	"github.com/basilkeel/basilkeel/entry"
	"github.com/basilkeel/basilkeel/place"
)

// BurnPath is where an entry tells operators what it has counted.
const BurnPath = "/burn"

func newRecorder(clock *clock.Service, source config.Source) *burn.Recorder {
	return burn.NewRecorder(burn.RecorderConfig{Clock: clock, Source: source})
}

// observer hands what an entry observes to the report on objectives, and what
// no server ran for want of room to the measurement of demand.
type observer struct {
	recorder *burn.Recorder
	meter    *place.Meter
}

func newObserver(recorder *burn.Recorder, meter *place.Meter) entry.Observer {
	return observer{recorder: recorder, meter: meter}
}

// Observe implements entry.Observer.
func (observer observer) Observe(observation entry.Observation) {
	observer.recorder.Record(burn.Sample{
		Account: observation.Account, Kind: observation.Kind, At: observation.At,
		FirstToken: observation.FirstToken, LargestGap: observation.LargestGap, Whole: observation.Whole,
		Tokens: observation.Tokens, Refusal: observation.Refusal,
	})
	if observation.Model == "" || observation.Refusal == nil {
		return
	}
	switch observation.Refusal.Code {
	case call.CodeOverloaded, call.CodeLoading, call.CodeDraining, call.CodeUnavailable:
		observer.meter.Count(place.Usage{
			Account: observation.Account, Model: observation.Model, Adapter: observation.Adapter,
			Tokens: observation.Asked, Missed: true,
		})
	default:
		// The caller's own fault, or demand that a server has counted.
	}
}

func routeBurn(router *mux.Router, recorder *burn.Recorder) {
	router.HandleFunc(BurnPath, func(writer http.ResponseWriter, _ *http.Request) {
		encoded, err := burn.EncodeRows(recorder.Rows())
		if err != nil {
			http.Error(writer, err.Error(), http.StatusInternalServerError)
			return
		}
		writer.Header().Set("Content-Type", "application/json")
		writer.Write(encoded)
	}).Methods(http.MethodGet)
}
