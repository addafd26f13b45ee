package quota

import (
	"github.com/basilkeel/basilkeel/config"
	"github.com/basilkeel/basilkeel/names"
)

// ConfigLimits is a [Limits] that reads the configuration in force.
type ConfigLimits struct {
	source config.Source
}

// NewConfigLimits returns the limits in the configuration of source.
func NewConfigLimits(source config.Source) *ConfigLimits { return &ConfigLimits{source: source} }

// Limit implements [Limits].
func (configLimits *ConfigLimits) Limit(account names.ClientAccount) (Limit, bool) {
	snapshot := configLimits.source.Current()
	if snapshot == nil {
		return Limit{}, false
	}
	found, ok := snapshot.Account(account)
	if !ok {
		return Limit{}, false
	}
	return Limit{Rate: found.Rate(), Burst: found.Burst()}, true
}
