package sched

import (
	"container/list"
	"slices"

	"github.com/basilkeel/basilkeel/names"
)

// promptKey identifies a part of a prompt that an engine has read for a model and an
// adapter.
type promptKey struct {
	model   names.Model
	adapter names.Adapter
	part    uint64
}

type promptEntry struct {
	key    promptKey
	tokens int64
}

// promptCache predicts which parts of prompts an engine still keeps: those placed there
// last, up to a number of tokens. Engines drop the least recently used ones, too.
type promptCache struct {
	entries map[promptKey]*list.Element
	// recent lists promptEntry values, the most recent one first.
	recent *list.List
	tokens int64
}

// cached returns how many of the first tokens of a prompt the engine keeps. A part is of
// use only if all parts before it are kept.
func (cache *promptCache) cached(request *Request) int64 {
	tokens := int64(0)
	for _, part := range request.Parts {
		if _, found := cache.entries[promptKey{model: request.Model, adapter: request.Adapter, part: part.ID}]; !found {
			break
		}
		tokens += part.Tokens
	}
	return min(tokens, max(request.PromptTokens-1, 0))
}

// add records that the engine reads the parts of a prompt and keeps at most maxTokens.
func (cache *promptCache) add(request *Request, maxTokens int64) {
	if cache.entries == nil {
		cache.entries, cache.recent = map[promptKey]*list.Element{}, list.New()
	}
	// The first part is the most recent one, as the others are of no use without it.
	for _, part := range slices.Backward(request.Parts) {
		key := promptKey{model: request.Model, adapter: request.Adapter, part: part.ID}
		if element, found := cache.entries[key]; found {
			cache.recent.MoveToFront(element)
			continue
		}
		cache.entries[key] = cache.recent.PushFront(promptEntry{key: key, tokens: part.Tokens})
		cache.tokens += part.Tokens
	}
	for cache.recent.Len() > 0 && (cache.tokens > maxTokens || cache.recent.Len() > maxCachedParts) {
		cache.drop(cache.recent.Back())
	}
}

// retain drops the parts of models that the engine no longer holds.
func (cache *promptCache) retain(held func(names.Model) bool) {
	if cache.recent == nil {
		return
	}
	for element := cache.recent.Front(); element != nil; {
		next := element.Next()
		if entry, valid := element.Value.(promptEntry); !valid || !held(entry.key.model) {
			cache.drop(element)
		}
		element = next
	}
}

func (cache *promptCache) drop(element *list.Element) {
	if entry, valid := cache.recent.Remove(element).(promptEntry); valid {
		cache.tokens -= entry.tokens
		delete(cache.entries, entry.key)
	}
}
