package call

import "time"

// ObjectiveConfig holds the fields of an [Objective].
type ObjectiveConfig struct {
	// FirstToken limits the time to the first token; zero means no limit.
	FirstToken time.Duration
	// BetweenTokens limits the time between two tokens; zero means no limit.
	BetweenTokens time.Duration
	// Whole limits the time to the complete response; zero means no limit.
	Whole time.Duration
	// Share is the fraction of requests, in (0, 1], that have to meet these
	// limits.
	Share float64
}

// Objective is the service level objective of a kind of request.
type Objective struct {
	config ObjectiveConfig
}

// NewObjective returns the objective described by config.
func NewObjective(config ObjectiveConfig) Objective {
	return Objective{config: config}
}

// FirstToken returns the limit of the time to the first token; zero means no limit.
func (objective Objective) FirstToken() time.Duration { return objective.config.FirstToken }

// BetweenTokens returns the limit of the time between two tokens; zero means no limit.
func (objective Objective) BetweenTokens() time.Duration { return objective.config.BetweenTokens }

// Whole returns the limit of the time to the complete response; zero means no limit.
func (objective Objective) Whole() time.Duration { return objective.config.Whole }

// Share returns the fraction of requests, in (0, 1], that have to meet the
// limits.
func (objective Objective) Share() float64 { return objective.config.Share }
