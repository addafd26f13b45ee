package engine

import (
	"context"

	"github.com/basilkeel/basilkeel/call"
	"github.com/basilkeel/basilkeel/names"
)

// Engine is the interface of a model engine. Only the agent beside the engine
// calls it.
type Engine interface {
	// Generate runs a completion and calls sink for each piece of output, in
	// order. It returns when the stream is complete or has failed, ctx ends, or
	// sink fails. A *[SendError] says whether the request may have reached the
	// engine; a *[BrokenError] says after how many pieces the stream ended.
	Generate(ctx context.Context, generation Generation, sink func(Piece) error) error
	// Cancel stops a generation. Canceling an unknown one is not an error.
	Cancel(ctx context.Context, request names.Request) error
	// Report returns what is resident in the engine and how loaded it is. The
	// report may be out of date; [Report.Applied] says which orders it includes.
	Report(ctx context.Context) (Report, error)
	// Order requests a change to what is resident. After an error other than a
	// *[FencedError], it is unknown whether the order was or will be executed.
	Order(ctx context.Context, order Order) error
}

// Generation is one completion for an engine to run.
type Generation struct {
	Request names.Request
	// Account is not sent to the engine.
	Account names.ClientAccount
	Model   names.Model
	Adapter names.Adapter
	// Prompt is the text to continue; chats are flattened by the entry.
	Prompt string
	// PromptTokens is the estimated length of the prompt; it is not sent to the
	// engine.
	PromptTokens call.Tokens
	// MaxTokens limits the output.
	MaxTokens call.Tokens
	// Priority orders generations in the engine; higher runs first.
	Priority int
	// Offset is the number of pieces to skip, since the caller already has them.
	Offset int
}

// Piece is one step of output.
type Piece struct {
	// Index counts pieces from zero, including those skipped by a resumed
	// generation.
	Index int
	Text  string
}
