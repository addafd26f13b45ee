package member

import (
	"github.com/basilkeel/basilkeel/fleet"
	"github.com/basilkeel/basilkeel/names"
	"github.com/basilkeel/basilkeel/wire"
)

func encodeRecord(record Record) *wire.MemberRecord {
	member := record.Member
	return &wire.MemberRecord{
		Instance: string(member.Instance()), Role: string(member.Role()), Address: member.Address(),
		Domain: string(member.Domain()), Region: string(member.Region()),
		Server: string(member.Server()), Service: string(member.Service()),
		Birth: record.Birth, Incarnation: record.Incarnation, Health: uint32(record.Health),
		Leaving: record.Leaving, Accusers: uint32(record.Accusers),
	}
}

// decodeRecord decodes an unknown health as [Gone] and drops accuser bits that
// belong to no ring.
func decodeRecord(record *wire.MemberRecord) Record {
	return Record{
		Member: fleet.NewMember(fleet.MemberConfig{
			Instance: names.Instance(record.GetInstance()), Role: fleet.Role(record.GetRole()),
			Address: record.GetAddress(), Domain: names.FailureDomain(record.GetDomain()),
			Region: names.Region(record.GetRegion()), Server: names.BackendServer(record.GetServer()),
			Service: names.Service(record.GetService()),
		}),
		Birth: record.GetBirth(), Incarnation: record.GetIncarnation(),
		Health:  Health(min(record.GetHealth(), uint32(Gone))),
		Leaving: record.GetLeaving(), Accusers: uint8(record.GetAccusers() & (1<<ringCount - 1)),
	}
}

func encodeRecords(records []Record) []*wire.MemberRecord {
	encoded := make([]*wire.MemberRecord, 0, len(records))
	for _, record := range records {
		encoded = append(encoded, encodeRecord(record))
	}
	return encoded
}

func decodeRecords(records []*wire.MemberRecord) []Record {
	decoded := make([]Record, 0, len(records))
	for _, record := range records {
		decoded = append(decoded, decodeRecord(record))
	}
	return decoded
}

func encodeProbe(probe Probe) *wire.ProbeRequest {
	return &wire.ProbeRequest{
		From: encodeRecord(probe.From), Records: encodeRecords(probe.Records),
		Bucket: uint32(probe.Bucket), Digest: probe.Digest,
	}
}

func decodeProbe(probe *wire.ProbeRequest) Probe {
	return Probe{
		From: decodeRecord(probe.GetFrom()), Records: decodeRecords(probe.GetRecords()),
		Bucket: uint8(probe.GetBucket() % bucketCount), Digest: probe.GetDigest(),
	}
}

func encodeReply(reply Reply) *wire.ProbeReply {
	return &wire.ProbeReply{From: encodeRecord(reply.From), Records: encodeRecords(reply.Records)}
}

func decodeReply(reply *wire.ProbeReply) Reply {
	return Reply{From: decodeRecord(reply.GetFrom()), Records: decodeRecords(reply.GetRecords())}
}
