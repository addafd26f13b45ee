package route_test

import (
	"sort"
	"time"

	"github.com/basilkeel/basilkeel/call"
	"github.com/basilkeel/basilkeel/queue"
)

// engineModel gives the duration of a step of continuous batching.
type engineModel struct {
	base      time.Duration
	perStream time.Duration
	perPrompt time.Duration
	// promptChunk bounds the prompt tokens of one step.
	promptChunk int
	// prefixes bounds the prompt prefixes in the cache.
	prefixes int
}

// stream is one generation in an engine. prompt is the prompt tokens left to
// process, and promptInStep those of the planned step.
type stream struct {
	job          *job
	item         queue.Item
	prompt       int
	tokens       int
	promptInStep int
	removed      bool
}

// simEngine simulates continuous batching of streams, one step at a time.
type simEngine struct {
	model      engineModel
	slowFactor float64
	streams    []*stream
	prefixes   []uint64
	busy       bool
}

// cached reports whether a prefix is in the cache, and makes it the most recently
// used.
func (engine *simEngine) cached(prefix uint64) bool {
	for i, each := range engine.prefixes {
		if each == prefix {
			engine.prefixes = append(append(engine.prefixes[:i:i], engine.prefixes[i+1:]...), prefix)
			return true
		}
	}
	engine.prefixes = append(engine.prefixes, prefix)
	if len(engine.prefixes) > engine.model.prefixes {
		engine.prefixes = engine.prefixes[1:]
	}
	return false
}

// planStep assigns the prompt tokens of the next step to streams and returns the
// step's duration.
func (engine *simEngine) planStep() time.Duration {
	sort.SliceStable(engine.streams, func(i, j int) bool {
		return queue.Priority(engine.streams[i].item.Kind) > queue.Priority(engine.streams[j].item.Kind)
	})
	left, decoding := engine.model.promptChunk, 0
	for _, stream := range engine.streams {
		stream.promptInStep = min(stream.prompt, left)
		left -= stream.promptInStep
		if stream.prompt == 0 {
			decoding++
		}
	}
	length := engine.model.base + time.Duration(decoding)*engine.model.perStream +
		time.Duration(engine.model.promptChunk-left)*engine.model.perPrompt
	return time.Duration(float64(length) * max(1, engine.slowFactor))
}

// step executes the planned step and returns the streams that generated a token.
func (engine *simEngine) step() []*stream {
	var moved []*stream
	for _, stream := range engine.streams {
		if stream.prompt > 0 {
			stream.prompt -= stream.promptInStep
			stream.promptInStep = 0
			if stream.prompt > 0 {
				continue
			}
		}
		stream.tokens++
		moved = append(moved, stream)
	}
	return moved
}

func (engine *simEngine) remove(id queue.ID) *stream {
	for i, stream := range engine.streams {
		if stream.item.ID == id {
			engine.streams = append(engine.streams[:i], engine.streams[i+1:]...)
			stream.removed = true
			return stream
		}
	}
	return nil
}

// simObjective returns the objective of simulated requests of a kind.
func simObjective(kind call.Kind) call.Objective {
	switch kind {
	case call.KindInteractive:
		return call.NewObjective(call.ObjectiveConfig{
			FirstToken: 460 * time.Millisecond, BetweenTokens: 46 * time.Millisecond, Share: 0.95,
		})
	case call.KindVerdict:
		return call.NewObjective(call.ObjectiveConfig{Whole: 2 * time.Second, Share: 0.95})
	default:
		return call.Objective{}
	}
}
