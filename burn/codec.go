package burn

import (
	"encoding/json"
	"time"

	"github.com/ansel1/merry/v2"

	"github.com/basilkeel/basilkeel/call"
	"github.com/basilkeel/basilkeel/names"
)

// rowWire is the JSON form of a row.
type rowWire struct {
	Account        string           `json:"account"`
	Kind           string           `json:"kind"`
	WindowSeconds  int64            `json:"windowSeconds"`
	CoveredSeconds int64            `json:"coveredSeconds"`
	Share          float64          `json:"share"`
	Total          int64            `json:"total"`
	Tokens         int64            `json:"tokens"`
	Missed         map[string]int64 `json:"missed,omitempty"`
	BurnRate       float64          `json:"burnRate"`
}

// EncodeRows returns the JSON form of rows.
func EncodeRows(rows []Row) ([]byte, error) {
	messages := make([]rowWire, 0, len(rows))
	for _, row := range rows {
		messages = append(messages, encodeRow(row))
	}
	return json.Marshal(messages)
}

// DecodeRows is the inverse of [EncodeRows].
func DecodeRows(encoded []byte) ([]Row, error) {
	var messages []rowWire
	if err := json.Unmarshal(encoded, &messages); err != nil {
		return nil, merry.Prepend(err, "counts of an entry")
	}
	rows := make([]Row, 0, len(messages))
	for _, message := range messages {
		row, err := message.decode()
		if err != nil {
			return nil, err
		}
		rows = append(rows, row)
	}
	return rows, nil
}

func encodeRow(row Row) rowWire {
	counts := row.Counts()
	message := rowWire{
		Account: string(row.Account()), Kind: row.Kind().String(),
		WindowSeconds:  int64(row.Window() / time.Second),
		CoveredSeconds: int64(row.Covered() / time.Second),
		Share:          row.Share(), Total: counts.Total(), Tokens: int64(counts.Tokens()),
		Missed: make(map[string]int64), BurnRate: row.BurnRate(),
	}
	for _, cause := range Causes() {
		if missed := counts.Missed(cause); missed > 0 {
			message.Missed[cause.String()] = missed
		}
	}
	return message
}

func (message *rowWire) decode() (Row, error) {
	kind, err := call.ParseKind(message.Kind)
	if err != nil {
		return Row{}, err
	}
	counts := Counts{total: message.Total, tokens: call.Tokens(message.Tokens)}
	for _, cause := range Causes() {
		counts.missed[cause] = message.Missed[cause.String()]
	}
	return NewRow(RowConfig{
		Account: names.ClientAccount(message.Account), Kind: kind,
		Window:  time.Duration(message.WindowSeconds) * time.Second,
		Covered: time.Duration(message.CoveredSeconds) * time.Second,
		Share:   message.Share, Counts: counts,
	}), nil
}
