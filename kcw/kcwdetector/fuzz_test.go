package kcwdetector_test

import (
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"kingcupwick.example/kcw/kcwpb"
)

// FuzzMerge checks that evidence from other hosts, damaged or not, neither crashes the
// detector nor exceeds its bounds.
func FuzzMerge(f *testing.F) {
	valid, err := proto.Marshal(&kcwpb.PartEvidence{
		Cuts:  []*kcwpb.CutAttempt{{Request: "r", Upstream: "u", Prompt: "p", Parts: []string{"a", "b", "a"}, AgeNanos: 5}},
		Begun: []*kcwpb.BegunPart{{Part: "a", Answers: 3, AgeNanos: 7}}, Answers: 3,
	})
	if err != nil {
		f.Fatal(err)
	}
	f.Add(valid, valid)
	f.Add([]byte{0xff}, []byte{})
	f.Fuzz(func(t *testing.T, first, second []byte) {
		d := newDetector(t)
		now := start
		for _, data := range [][]byte{first, second, first} {
			evidence := &kcwpb.PartEvidence{}
			if proto.Unmarshal(data, evidence) != nil {
				continue
			}
			now = now.Add(time.Second)
			if _, err := d.Merge(evidence, now); err != nil {
				continue
			}
			if n := len(d.ExportAll(now).GetCuts()); n > config().MaxCuts {
				t.Errorf("%d cuts are kept", n)
			}
			d.Export(now)
			d.Suspects(now)
			d.Decide(now)
		}
	})
}
