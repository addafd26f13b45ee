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

// BurnPath is the path at which an entry reports its counts for service
// objectives to operators.
const BurnPath = "/burn"

func newRecorder(clock *clock.Service, source config.Source) *burn.Recorder {
	return burn.NewRecorder(burn.RecorderConfig{Clock: clock, Source: source})
}

// observer passes an entry's observations to the recorder for the report on
// objectives. It also counts requests that were refused for lack of capacity as
// missed demand.
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
		FirstToken: observation.FirstToken, LargestGap: observation.LargestGap, Whole: observation.Duration,
		Tokens: observation.ChargedTokens, Refusal: observation.Refusal,
	})
	if observation.Model == "" || observation.Refusal == nil {
		return
	}
	switch observation.Refusal.Code {
	case call.CodeOverloaded, call.CodeLoading, call.CodeDraining, call.CodeUnavailable:
		observer.meter.Count(place.Usage{
			Account: observation.Account, Model: observation.Model, Adapter: observation.Adapter,
			Tokens: observation.MaxTokens, Missed: true,
		})
	default:
		// The refusal is the caller's fault, or a server has counted the demand.
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
