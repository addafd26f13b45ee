package policy

import (
	"slices"

	"github.com/basilkeel/basilkeel/names"
)

// Homes returns the regions that requests of a route and a client account, which may be
// nil, are restricted to. It returns false if neither has homes, so that nothing is
// restricted. If both have homes, both apply, and there may be no region left.
func Homes(route *Route, account *Account) ([]names.Region, bool) {
	var ofAccount []names.Region
	if account != nil {
		ofAccount = account.Homes
	}
	switch {
	case len(route.Homes) == 0:
		return ofAccount, len(ofAccount) > 0
	case len(ofAccount) == 0:
		return route.Homes, true
	}
	var both []names.Region
	for _, region := range route.Homes {
		if slices.Contains(ofAccount, region) {
			both = append(both, region)
		}
	}
	return both, true
}

// Regions is the geography of a deployment.
type Regions struct {
	// Own is the region of this instance.
	Own names.Region
	// Domains maps failure domains to their regions. Others are in no region.
	Domains map[names.FailureDomain]names.Region
}

// Exists reports whether a region is that of this instance or of a failure domain.
func (regions *Regions) Exists(region names.Region) bool {
	if region == regions.Own {
		return region != ""
	}
	for _, each := range regions.Domains {
		if each == region {
			return region != ""
		}
	}
	return false
}

// Within returns the failure domains in any of the homes, sorted.
func (regions *Regions) Within(homes []names.Region) []names.FailureDomain {
	var domains []names.FailureDomain
	for domain, region := range regions.Domains {
		if domain != "" && region != "" && slices.Contains(homes, region) {
			domains = append(domains, domain)
		}
	}
	slices.Sort(domains)
	return domains
}
