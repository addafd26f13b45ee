package spread

import (
	"time"

	"github.com/basilkeel/basilkeel/config"
	"github.com/basilkeel/basilkeel/names"
	"github.com/basilkeel/basilkeel/store"
	"github.com/basilkeel/basilkeel/wire"
)

func encodeNews(anchorMicros int64, news News) *wire.SpreadNews {
	message := &wire.SpreadNews{AnchorMicros: anchorMicros, Version: int64(news.Version)}
	if news.Confirmed != nil {
		message.Confirmed = &wire.ConfirmedVersion{
			Version:      int64(news.Confirmed.Version),
			OffsetMicros: floorMicros(news.Confirmed.Offset),
		}
	}
	for _, outage := range news.Outages {
		message.Outages = append(message.Outages, &wire.DomainOutage{
			Domain:       string(outage.Domain),
			OffsetMicros: floorMicros(outage.Offset),
			Version:      int64(outage.Version),
		})
	}
	return message
}

// floorMicros converts a span to microseconds, rounded down, so that rounding
// never makes evidence look newer.
func floorMicros(span time.Duration) int64 {
	micros := span.Microseconds()
	if span < 0 && time.Duration(micros)*time.Microsecond != span {
		micros--
	}
	return micros
}

func decodeNews(message *wire.SpreadNews) News {
	news := News{Version: config.Version(message.GetVersion())}
	if confirmed := message.GetConfirmed(); confirmed != nil {
		news.Confirmed = &Confirmation{
			Version: config.Version(confirmed.GetVersion()),
			Offset:  fromMicros(confirmed.GetOffsetMicros()),
		}
	}
	for _, outage := range message.GetOutages() {
		news.Outages = append(news.Outages, Outage{
			Domain:  names.FailureDomain(outage.GetDomain()),
			Offset:  fromMicros(outage.GetOffsetMicros()),
			Version: config.Version(outage.GetVersion()),
		})
	}
	return news
}

func fromMicros(count int64) time.Duration { return time.Duration(count) * time.Microsecond }

func encodeVersionCounts(versionCounts []VersionCount) []*wire.VersionCount {
	counts := make([]*wire.VersionCount, len(versionCounts))
	for i, count := range versionCounts {
		counts[i] = &wire.VersionCount{Version: int64(count.Version), Count: int64(count.Count)}
	}
	return counts
}

func decodeVersionCounts(counts []*wire.VersionCount) []VersionCount {
	versionCounts := make([]VersionCount, len(counts))
	for i, count := range counts {
		versionCounts[i] = VersionCount{Version: config.Version(count.GetVersion()), Count: int(count.GetCount())}
	}
	return versionCounts
}

func encodeUpdateHead(update config.Update) *wire.UpdateReply {
	return &wire.UpdateReply{Reply: &wire.UpdateReply_Head{Head: &wire.UpdateHead{
		Base:    int64(update.Base),
		Version: int64(update.Version),
		Layout:  string(update.Layout),
		Removed: update.Removed,
	}}}
}

func decodeUpdateHead(head *wire.UpdateHead) config.Update {
	return config.Update{
		Base:    config.Version(head.GetBase()),
		Version: config.Version(head.GetVersion()),
		Layout:  config.Hash(head.GetLayout()),
		Removed: head.GetRemoved(),
	}
}

func encodeUpdatePart(part config.UpdatePart) *wire.UpdateReply {
	return &wire.UpdateReply{Reply: &wire.UpdateReply_Part{Part: &wire.UpdatePart{
		Name:     part.Name,
		Hash:     string(part.Ref.Hash),
		Version:  int64(part.Ref.Version),
		Revision: int64(part.Ref.Revision),
		Prefix:   int64(part.Patch.Prefix),
		Suffix:   int64(part.Patch.Suffix),
		Middle:   part.Patch.Middle,
	}}}
}

func decodeUpdatePart(part *wire.UpdatePart) config.UpdatePart {
	return config.UpdatePart{
		Name: part.GetName(),
		Ref: config.Ref{
			Hash:     config.Hash(part.GetHash()),
			Version:  config.Version(part.GetVersion()),
			Revision: store.Revision(part.GetRevision()),
		},
		Patch: config.Patch{Prefix: int(part.GetPrefix()), Suffix: int(part.GetSuffix()), Middle: part.GetMiddle()},
	}
}
