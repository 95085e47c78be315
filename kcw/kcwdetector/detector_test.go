package kcwdetector_test

import (
	"errors"
	"math"
	"net/netip"
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"

	"kingcupwick.example/kcw/kcwdetector"
	"kingcupwick.example/kcw/kcwpb"
)

var start = time.Unix(1_700_000_000, 0)

func config() kcwdetector.Config {
	return kcwdetector.Config{
		MinMoments: 3, MomentSpan: 100 * time.Millisecond, EndSpan: time.Second, MinUpstreams: 3, MinPrompts: 3, MaxChance: 1e-6, MinAnswers: 10,
		Batch:  kcwdetector.Batch{MinEnds: 5, EndShare: 1.0 / 3, MaxChance: 1e-3, Settle: 2 * time.Second},
		Settle: 400 * time.Millisecond, Window: 10 * time.Minute, MaxParts: 1000, MaxCuts: 200, MaxCutParts: 2000,
	}
}

func newDetector(t testing.TB) *kcwdetector.Detector {
	t.Helper()
	d, err := kcwdetector.New(config())
	if err != nil {
		t.Fatal(err)
	}
	return d
}

// step is one event of a test: a cut at an upstream, written as ID or as ID@ADDRESS, or, if
// upstream is empty, a whole answer.
type step struct {
	at       time.Duration
	upstream string
	prompt   string
	parts    string
}

// The prompts of steps whose answer has begun and goes on, or has ended with its connection.
const (
	begins   = "begins"
	unproven = "unproven"
)

// within returns the steps with cuts that are within an answer, which begins just before.
func within(steps []step) []step {
	var all []step
	for _, s := range steps {
		all = append(all, step{s.at - 20*time.Millisecond, "", begins, s.parts}, step{s.at, s.upstream, s.prompt + begins, s.parts})
	}
	return all
}

// others are answers to prompts without any part of the tests, at the given time.
func others(at time.Duration) []step {
	var steps []step
	for i := range 200 {
		steps = append(steps, step{at: at, parts: "other" + strconv.Itoa(i)})
	}
	return steps
}

// manyCuts are n cuts of prompts without a part in common.
func manyCuts(n int) []step {
	var steps []step
	for i := range n {
		steps = append(steps, step{3 * time.Second, "v" + strconv.Itoa(i), "v" + strconv.Itoa(i), "v" + strconv.Itoa(i)})
	}
	return steps
}

func play(d *kcwdetector.Detector, steps []step) {
	for i, s := range steps {
		parts := strings.Fields(s.parts)
		at := start.Add(s.at)
		switch {
		case s.upstream != "":
			id, address, _ := strings.Cut(s.upstream, "@")
			c := kcwdetector.Cut{Request: strconv.Itoa(i), Upstream: id, Prompt: s.prompt, Parts: parts, Begun: strings.HasSuffix(s.prompt, begins), At: at}
			if address != "" {
				c.Address = netip.MustParseAddrPort(address)
			}
			d.Cut(c)
		case s.prompt == begins:
			d.Begin(parts, at)
		default:
			d.Complete(parts, s.prompt != unproven, at.Add(-time.Second), at)
		}
	}
}

// blocked returns the parts of the blocks, those of one block separated by commas.
func blocked(blocks []*kcwpb.PartBlock) []string {
	var sets []string
	for _, b := range blocks {
		sets = append(sets, strings.Join(b.GetParts(), ","))
	}
	slices.Sort(sets)
	return sets
}

func TestDecide(t *testing.T) {
	const second = time.Second
	three := []step{
		{0, "u1", "p1", "class crashing a"}, {second, "u2", "p2", "class crashing b"}, {2 * second, "u3", "p3", "class crashing c"},
	}
	ends := func(n int) []step {
		var steps []step
		for i := range n {
			name := strconv.Itoa(i)
			steps = append(steps, step{time.Duration(i) * second, "u" + name, "p" + name, "class crashing " + name})
		}
		return steps
	}
	four := append(slices.Clone(three), step{3 * second, "u4", "p4", "class crashing d"})
	for _, test := range []struct {
		name  string
		steps []step
		// at is the time of the decision, 10 s if zero.
		at   time.Duration
		want []string
	}{
		{name: "no evidence"},
		{name: "three ends", steps: slices.Concat(three, others(second), []step{{3 * second, "", "", "class"}}), want: []string{"crashing"}},
		{name: "three ends within the answer are not enough", steps: slices.Concat(within(three), others(second), []step{{3 * second, "", "", "class"}})},
		{name: "four ends within the answer", steps: slices.Concat(within(four), others(second), []step{{3500 * time.Millisecond, "", "", "class"}}), want: []string{"crashing"}},
		{
			name:  "an answer that has only begun does not rule out parts for a cut within one",
			steps: slices.Concat(within(four), others(second), []step{{4 * second, "", begins, "class crashing"}}), want: []string{"class,crashing"},
		},
		{
			name:  "an answer that has begun rules out parts for the cuts before one",
			steps: slices.Concat(three, others(second), []step{{3 * second, "", begins, "class"}}), want: []string{"crashing"},
		},
		{
			name:  "an answer that ends with its connection may have been broken off",
			steps: slices.Concat(within(four), others(second), []step{{4 * second, "", unproven, "crashing"}, {4 * second, "", "", "class"}}),
		},
		{
			name: "more ends than answers that end with their connection",
			steps: slices.Concat(within(four), others(second), []step{{4 * second, "", unproven, "crashing"}, {4 * second, "", "", "class"}},
				within([]step{{5 * second, "u5", "p5", "crashing"}})),
			want: []string{"crashing"},
		},
		{name: "parts in common that the evidence does not tell apart", steps: slices.Concat(three, others(second)), want: []string{"class,crashing"}},
		{name: "the cause of an outage of all upstreams is not known", steps: three},
		{name: "few answers to other prompts, and few ends", steps: slices.Concat(three, others(second)[:4])},
		{name: "few answers to other prompts, and many ends", steps: slices.Concat(ends(9), others(second)[:4]), want: []string{"class,crashing"}},
		{name: "one answer to another prompt, and many ends", steps: slices.Concat(ends(9), others(second)[:1])},
		{name: "few answers beside cuts of other prompts", steps: slices.Concat(ends(9), others(second)[:4], manyCuts(4))},
		{name: "few answers beside cuts of other prompts by the same ends", steps: slices.Concat(ends(9), others(second)[:4], []step{
			{5 * second, "u5", "q5", "q5"}, {6 * second, "u6", "q6", "q6"}, {7 * second, "u7", "q7", "q7"}, {8 * second, "u8", "q8", "q8"},
		})},
		{name: "the last cut is not settled", steps: slices.Concat(three, others(second)), at: 2*second + 300*time.Millisecond},
		{name: "the window is over", steps: slices.Concat(three, others(second)), at: 12 * time.Minute},
		{
			name:  "an answer to a prompt with the part has begun since",
			steps: slices.Concat(three, others(second), []step{{1500 * time.Millisecond, "", "", "class crashing x"}}),
		},
		{
			name: "ends at one moment have one cause",
			steps: slices.Concat([]step{
				{0, "u1", "p1", "crashing"}, {50 * time.Millisecond, "u2", "p2", "crashing"}, {100 * time.Millisecond, "u3", "p3", "crashing"},
			}, others(second)),
		},
		{
			name: "cuts at one upstream are one end",
			steps: slices.Concat([]step{
				{0, "u1", "p1", "crashing"}, {400 * time.Millisecond, "u1", "p2", "crashing"}, {800 * time.Millisecond, "u1", "p3", "crashing"},
			}, others(second)),
		},
		{
			name: "three ends of one upstream that starts again are not enough",
			steps: slices.Concat([]step{
				{0, "u1", "p1", "crashing"}, {2 * second, "u1", "p2", "crashing"}, {4 * second, "u1", "p3", "crashing"},
			}, others(second)),
		},
		{
			name: "three ends of one upstream that starts again under other IDs",
			steps: slices.Concat([]step{
				{0, "u1@10.0.0.1:80", "p1", "crashing"}, {2 * second, "u2@10.0.0.1:80", "p2", "crashing"}, {4 * second, "u3@10.0.0.1:80", "p3", "crashing"},
			}, others(second)),
		},
		{
			name: "three ends at different addresses",
			steps: slices.Concat([]step{
				{0, "u1@10.0.0.1:80", "p1", "crashing"}, {2 * second, "u2@10.0.0.2:80", "p2", "crashing"}, {4 * second, "u3@10.0.0.3:80", "p3", "crashing"},
			}, others(second)),
			want: []string{"crashing"},
		},
		{
			name: "five ends of one upstream that starts again",
			steps: slices.Concat([]step{
				{0, "u1", "p1", "crashing"},
				{1500 * time.Millisecond, "u1", "p2", "crashing"},
				{3 * second, "u1", "p3", "crashing"},
				{4500 * time.Millisecond, "u1", "p4", "crashing"},
				{6 * second, "u1", "p5", "crashing"},
			}, others(second)),
			want: []string{"crashing"},
		},
		{
			name: "an upstream that ends more often without the part",
			steps: slices.Concat([]step{
				{0, "u1", "p1", "crashing"},
				{1500 * time.Millisecond, "u1", "p2", "crashing"},
				{3 * second, "u1", "p3", "crashing"},
				{4500 * time.Millisecond, "u1", "p4", "crashing"},
				{6 * second, "u1", "p5", "crashing"},
				{-3 * second, "u1", "q1", "q1"},
				{-1500 * time.Millisecond, "u1", "q2", "q2"},
				{-5 * second, "u1", "q3", "q3"},
				{-7 * second, "u1", "q4", "q4"},
				{-9 * second, "u1", "q5", "q5"},
			}, others(second)),
		},
		{
			name: "four ends of two upstreams that start again",
			steps: slices.Concat([]step{
				{0, "u1", "p1", "crashing"}, {2 * second, "u2", "p2", "crashing"}, {4 * second, "u1", "p3", "crashing"}, {6 * second, "u2", "p4", "crashing"},
			}, others(second)),
			want: []string{"crashing"},
		},
		{
			name: "one prompt that is sent again is not enough",
			steps: slices.Concat([]step{
				{0, "u1", "p1", "crashing"}, {second, "u2", "p1", "crashing"}, {2 * second, "u3", "p1", "crashing"},
			}, others(second)),
		},
		{
			name: "two prompts and three ends are not enough",
			steps: slices.Concat([]step{
				{0, "u1", "p1", "crashing a"}, {second, "u2", "p1", "crashing a"}, {2 * second, "u3", "p2", "crashing b"},
			}, others(second)),
		},
		{
			name: "two prompts and four ends",
			steps: slices.Concat([]step{
				{0, "u1", "p1", "crashing a"},
				{second, "u2", "p1", "crashing a"},
				{2 * second, "u3", "p2", "crashing b"},
				{3 * second, "u4", "p2", "crashing b"},
			}, others(second)),
			want: []string{"crashing"},
		},
		{
			name: "a part with many answers needs more evidence",
			steps: slices.Concat([]step{{-3 * second, "", "", "common"}, {-2 * second, "", "", "common"}}, []step{
				{0, "u1", "p1", "common"}, {second, "u2", "p2", "common"}, {2 * second, "u3", "p3", "common"}, {3 * second, "u4", "p4", "common"},
			}, others(second)),
		},
		{
			name: "a part with many answers and more evidence",
			steps: slices.Concat([]step{{-3 * second, "", "", "common"}, {-2 * second, "", "", "common"}}, []step{
				{0, "u1", "p1", "common"},
				{second, "u2", "p2", "common"},
				{2 * second, "u3", "p3", "common"},
				{3 * second, "u4", "p4", "common"},
				{4 * second, "u5", "p5", "common"},
			}, others(second)),
			want: []string{"common"},
		},
		{
			name: "a part whose prompts were cut by the same ends is not suspected",
			steps: slices.Concat(three, []step{
				{0, "u1", "q1", "rare"},
				{second, "u2", "q2", "rare"},
				{2 * second, "u3", "q3", "rare"},
				{3 * second, "", "", "class"},
				{4 * second, "u4", "p4", "crashing"},
			}, others(second)),
			want: []string{"crashing"},
		},
		{
			name: "two parts at once",
			steps: slices.Concat(three, []step{
				{500 * time.Millisecond, "u4", "q1", "class second"},
				{1500 * time.Millisecond, "u5", "q2", "class second"},
				{2500 * time.Millisecond, "u6", "q3", "class second"},
				{3 * second, "", "", "class"},
			}, others(second)),
			want: []string{"crashing", "second"},
		},
		{
			name:  "when many attempts are cut, three cuts may be chance",
			steps: slices.Concat(three, others(second), manyCuts(100)),
		},
		{
			name:  "when few attempts are cut, three cuts are no chance",
			steps: slices.Concat(three, others(second), manyCuts(1), []step{{3 * second, "", "", "class"}}),
			want:  []string{"crashing"},
		},
		{
			name: "ends without a part in common",
			steps: slices.Concat([]step{
				{0, "u1", "p1", "class a"},
				{0, "u1", "p2", "class b"},
				{second, "u2", "p3", "class c"},
				{2 * second, "u3", "p4", "class d"},
				{2500 * time.Millisecond, "", "", "class"},
			}, others(second)),
		},
	} {
		d := newDetector(t)
		play(d, test.steps)
		at := test.at
		if at == 0 {
			at = 10 * second
		}
		if got := blocked(d.Decide(start.Add(at))); !slices.Equal(got, test.want) {
			t.Errorf("%s: got %q, want %q", test.name, got, test.want)
		}
	}
}

// batch returns cuts of prompts with the given parts at n upstreams at a time.
func batch(at time.Duration, first, n int, parts string) []step {
	var steps []step
	for i := range n {
		name := strconv.Itoa(first + i)
		steps = append(steps, step{at + time.Duration(i)*10*time.Millisecond, "u" + name, "p" + name, parts + " own" + name})
	}
	return steps
}

// TestDecideOnBatches guards against a part that crashes many upstreams at a time, before there are
// ends at enough moments, and against blocks of sound parts because of an accident that ends many
// upstreams at once.
func TestDecideOnBatches(t *testing.T) {
	const second = time.Second
	// elsewhere are answers to other prompts with the class, after the ends.
	elsewhere := slices.Concat(others(second), []step{{second, "", "", "class"}})
	for _, test := range []struct {
		name  string
		steps []step
		// at is the time of the decision, 2.5 s if zero.
		at            time.Duration
		want          []string
		isProvisional bool
	}{
		{name: "six ends at one moment", steps: slices.Concat(batch(0, 0, 6, "class crashing"), elsewhere), want: []string{"crashing"}, isProvisional: true},
		{name: "six ends within answers", steps: slices.Concat(within(batch(0, 0, 6, "class crashing")), elsewhere), want: []string{"crashing"}, isProvisional: true},
		{name: "three ends at each of two moments", steps: slices.Concat(batch(-second, 0, 3, "class crashing"), batch(0, 3, 3, "class crashing"), elsewhere), want: []string{"crashing"}, isProvisional: true},
		{
			name:  "six ends at each of three moments",
			steps: slices.Concat(batch(-2*second, 0, 6, "class crashing"), batch(-second, 6, 6, "class crashing"), batch(0, 12, 6, "class crashing"), elsewhere),
			want:  []string{"crashing"},
		},
		{name: "four ends are not enough", steps: slices.Concat(batch(0, 0, 4, "class crashing"), elsewhere)},
		{name: "answers of some length may follow", steps: slices.Concat(batch(0, 0, 6, "class crashing"), elsewhere), at: 1900 * time.Millisecond},
		{name: "an answer since", steps: slices.Concat(batch(0, 0, 6, "class crashing"), elsewhere, []step{{2 * second, "", "", "crashing"}})},
		{name: "an answer before", steps: slices.Concat([]step{{-second, "", "", "crashing"}}, batch(0, 0, 6, "class crashing"), elsewhere)},
		{name: "an outage of all upstreams", steps: batch(0, 0, 18, "class new")},
		{name: "a lost zone", steps: slices.Concat(batch(0, 0, 5, "class new"), batch(0, 5, 6, "class"), elsewhere)},
		{name: "one upstream with many prompts", steps: slices.Concat(elsewhere, func() []step {
			steps := batch(0, 0, 6, "class new")
			for i := range steps {
				steps[i].upstream = "u"
			}
			return steps
		}())},
		{name: "a prompt that is sent again and again", steps: slices.Concat(elsewhere, func() []step {
			steps := batch(0, 0, 6, "class new")
			for i := range steps {
				steps[i].prompt = "p"
			}
			return steps
		}())},
		{name: "many attempts are cut by accidents", steps: slices.Concat(batch(0, 0, 5, "class new"), elsewhere, manyCuts(180))},
	} {
		d := newDetector(t)
		play(d, test.steps)
		at := test.at
		if at == 0 {
			at = 2500 * time.Millisecond
		}
		blocks := d.Decide(start.Add(at))
		if got := blocked(blocks); !slices.Equal(got, test.want) || len(blocks) > 0 && blocks[0].GetProvisional() != test.isProvisional {
			t.Errorf("%s: got %v, want %q, provisional %v", test.name, blocks, test.want, test.isProvisional)
		}
	}
}

// TestCutsSince checks which cuts are passed on to a router that has those up to a version.
func TestCutsSince(t *testing.T) {
	const limit = 2
	d := newDetector(t)
	play(d, []step{
		{0, "u1", "p1", "class a"},
		{time.Second, "u2", "p2", "class b"},
		{1500 * time.Millisecond, "", "", "class"},
		{2 * time.Second, "u3", "p3", "class c"},
		{1750 * time.Millisecond, "u4", "p4", "d"},
		{1800 * time.Millisecond, "", "", "d"},
	})
	for _, test := range []struct {
		version uint64
		want    string
	}{
		{0, "u3 class,c; u2 b"}, {2, "u3 class,c"}, {3, ""}, {4, ""}, {99, ""},
	} {
		cuts, latest := d.CutsSince(test.version, limit)
		var got []string
		for _, c := range cuts {
			got = append(got, c.Upstream+" "+strings.Join(c.Parts, ","))
		}
		if strings.Join(got, "; ") != test.want || latest != 4 {
			t.Errorf("since %d: got %q up to %d, want %q up to 4", test.version, got, latest, test.want)
		}
	}
}

// TestNarrowerDecision checks that a set of parts shrinks when the evidence tells its
// parts apart.
func TestNarrowerDecision(t *testing.T) {
	d := newDetector(t)
	play(d, slices.Concat([]step{
		{0, "u1", "p1", "crashing subject"}, {time.Second, "u2", "p2", "crashing subject"}, {2 * time.Second, "u3", "p3", "crashing subject"},
	}, others(time.Second)))
	if got := blocked(d.Decide(start.Add(3 * time.Second))); !slices.Equal(got, []string{"crashing,subject"}) {
		t.Errorf("got %q", got)
	}
	d.Complete([]string{"subject"}, true, start, start.Add(3*time.Second))
	if got := blocked(d.Decide(start.Add(4 * time.Second))); !slices.Equal(got, []string{"crashing"}) {
		t.Errorf("after an answer: got %q", got)
	}
}

func TestEvidenceOfBlock(t *testing.T) {
	d := newDetector(t)
	play(d, slices.Concat([]step{
		{0, "u1", "p1", "crashing"}, {time.Second, "u2", "p1", "crashing"}, {2 * time.Second, "u3", "p2", "crashing"}, {2500 * time.Millisecond, "u4", "p3", "crashing"},
	}, others(time.Second)))
	blocks := d.Decide(start.Add(3 * time.Second))
	if len(blocks) != 1 {
		t.Fatalf("got %v", blocks)
	}
	b := blocks[0]
	if b.GetMoments() != 4 || b.GetPrompts() != 3 || !slices.Equal(b.GetUpstreams(), []string{"u1", "u2", "u3", "u4"}) || !slices.Equal(b.GetRequests(), []string{"0", "1", "2", "3"}) {
		t.Errorf("got %v", b)
	}
	suspects := d.Suspects(start.Add(3 * time.Second))
	if len(suspects) != 1 || suspects[0].Part != "crashing" || suspects[0].Moments != 4 || suspects[0].Upstreams != 4 || suspects[0].Prompts != 3 {
		t.Errorf("got suspects %+v", suspects)
	}
	d.Forget([]string{"crashing"})
	if !d.LastCut().IsZero() || len(d.Decide(start.Add(3*time.Second))) > 0 {
		t.Error("forgotten evidence counts")
	}
}

// TestRepeatedEvidence checks that evidence that arrives again, or by way of other hosts,
// counts once.
func TestRepeatedEvidence(t *testing.T) {
	now := start.Add(3 * time.Second)
	a, b := newDetector(t), newDetector(t)
	play(a, slices.Concat([]step{{0, "u1", "p1", "crashing"}, {time.Second, "u2", "p2", "crashing"}}, others(time.Second)))
	for i := range 3 {
		added, err := b.Merge(a.Export(now), now)
		if want := map[bool]int{true: 2}[i == 0]; err != nil || len(added) != want {
			t.Errorf("round %d: got %d cuts, %v; want %d", i, len(added), err, want)
		}
		if _, err := a.Merge(b.Export(now), now); err != nil {
			t.Error(err)
		}
	}
	for name, d := range map[string]*kcwdetector.Detector{"a": a, "b": b} {
		if s := d.Suspects(now); len(s) != 1 || s[0].Moments != 2 || s[0].Prompts != 2 {
			t.Errorf("%s: got %+v", name, s)
		}
	}
}

func TestDamagedEvidence(t *testing.T) {
	cut := func(change func(c *kcwpb.CutAttempt)) *kcwpb.PartEvidence {
		c := &kcwpb.CutAttempt{Request: "r", Upstream: "u", Prompt: "p", Parts: []string{"a"}}
		change(c)
		return &kcwpb.PartEvidence{Cuts: []*kcwpb.CutAttempt{{Request: "r0", Upstream: "u", Parts: []string{"a"}}, c}}
	}
	for _, test := range []struct {
		name     string
		evidence *kcwpb.PartEvidence
	}{
		{"no request", cut(func(c *kcwpb.CutAttempt) { c.Request = "" })},
		{"no upstream", cut(func(c *kcwpb.CutAttempt) { c.Upstream = "" })},
		{"no parts", cut(func(c *kcwpb.CutAttempt) { c.Parts = nil })},
		{"an empty part", cut(func(c *kcwpb.CutAttempt) { c.Parts = []string{"a", ""} })},
		{"a long part", cut(func(c *kcwpb.CutAttempt) { c.Parts = []string{strings.Repeat("x", 1000)} })},
		{"a long prompt", cut(func(c *kcwpb.CutAttempt) { c.Prompt = strings.Repeat("x", 1000) })},
		{"many parts", cut(func(c *kcwpb.CutAttempt) { c.Parts = numbered("x", kcwdetector.MaxParts+1) })},
		{"many parts in two fields", cut(func(c *kcwpb.CutAttempt) { c.MoreParts = numbered("x", kcwdetector.MaxParts) })},
		{"an empty further part", cut(func(c *kcwpb.CutAttempt) { c.MoreParts = []string{""} })},
		{"a negative age", cut(func(c *kcwpb.CutAttempt) { c.AgeNanos = -1 })},
		{"a begun part without a name", &kcwpb.PartEvidence{Begun: []*kcwpb.BegunPart{{Answers: 1}}}},
		{"a part with a negative age of its whole answer", &kcwpb.PartEvidence{Begun: []*kcwpb.BegunPart{{Part: "a", WholeAgeNanos: -1}}}},
		{"a begun part with a negative age", &kcwpb.PartEvidence{Begun: []*kcwpb.BegunPart{{Part: "a", AgeNanos: -1}}}},
		{"answers that took longer than a day", &kcwpb.PartEvidence{Answers: 1, TookNanos: int64(25 * time.Hour)}},
		{"answers that took a negative time", &kcwpb.PartEvidence{Answers: 1, TookNanos: -1}},
		{"too many cuts", &kcwpb.PartEvidence{Cuts: make([]*kcwpb.CutAttempt, kcwdetector.MaxCutsInMessage+1)}},
		{"too many begun parts", &kcwpb.PartEvidence{Begun: make([]*kcwpb.BegunPart, kcwdetector.MaxBegunInMessage+1)}},
	} {
		d := newDetector(t)
		_, err := d.Merge(test.evidence, start)
		var e *kcwdetector.Error
		if !errors.As(err, &e) || e.Kind != kcwdetector.Malformed || !d.LastCut().IsZero() {
			t.Errorf("%s: got %v, and evidence kept: %v", test.name, err, !d.LastCut().IsZero())
		}
	}
}

// TestEvidenceOfManyAnswers checks that a router that has not reached the core for long may report all
// its answers.
func TestEvidenceOfManyAnswers(t *testing.T) {
	if err := kcwdetector.Check(&kcwpb.PartEvidence{Answers: math.MaxUint32, TookNanos: math.MaxUint32 * int64(time.Second)}); err != nil {
		t.Error(err)
	}
}

// TestExportsHaveAllCutsInTurn checks that another router gets few cuts at a time, the latest
// first, and all of them over some exchanges.
func TestExportsHaveAllCutsInTurn(t *testing.T) {
	const cuts, exchanges, maxCuts = 200, 14, 32
	d := newDetector(t)
	for i := range cuts {
		n := strconv.Itoa(i)
		d.Cut(kcwdetector.Cut{Request: n, Upstream: "u" + n, Prompt: n, Parts: []string{"a" + n}, At: start.Add(time.Duration(i) * time.Millisecond)})
	}
	known := map[string]bool{}
	for i := range exchanges {
		exported := d.Export(start.Add(time.Second)).GetCuts()
		if len(exported) > maxCuts {
			t.Errorf("%d cuts in one exchange", len(exported))
		}
		hasLatest := false
		for _, c := range exported {
			known[c.GetRequest()] = true
			hasLatest = hasLatest || c.GetRequest() == strconv.Itoa(cuts-1)
		}
		if !hasLatest {
			t.Errorf("exchange %d lacks the latest cut", i)
		}
	}
	if len(known) != cuts {
		t.Errorf("%d cuts are known after %d exchanges, want %d", len(known), exchanges, cuts)
	}
}

func TestBounds(t *testing.T) {
	d := newDetector(t)
	for i := range 10_000 {
		n := strconv.Itoa(i)
		d.Cut(kcwdetector.Cut{Request: n, Upstream: "u" + n, Prompt: n, Parts: []string{"a" + n, "b" + n}, At: start})
		d.Complete([]string{"c" + n, "d" + n}, true, start, start)
	}
	if n := len(d.ExportAll(start).GetCuts()); n != config().MaxCuts {
		t.Errorf("%d cuts are kept, want %d", n, config().MaxCuts)
	}
	if d.CutSince([]string{"a0"}, start) {
		t.Error("the earliest cut is kept")
	}
	if d.WholeSince([]string{"c0"}, start) || !d.WholeSince([]string{"c9999", "d9999"}, start) {
		t.Error("the parts used least recently are kept")
	}
}

// TestForgottenAnswersRuleOutParts checks that an answer rules out the parts of its prompt
// although more parts have been used since than are remembered.
func TestForgottenAnswersRuleOutParts(t *testing.T) {
	cfg := config()
	cfg.MaxParts = 10
	d, err := kcwdetector.New(cfg)
	if err != nil {
		t.Fatal(err)
	}
	for i := range 4 {
		at, n := start.Add(time.Duration(i)*time.Second), strconv.Itoa(i)
		d.Cut(kcwdetector.Cut{Request: n, Upstream: "u" + n, Prompt: n, Parts: []string{"sound"}, At: at})
		d.Complete([]string{"sound"}, true, at, at.Add(500*time.Millisecond))
		play(d, others(time.Duration(i)*time.Second))
	}
	if got := blocked(d.Decide(start.Add(5 * time.Second))); len(got) > 0 {
		t.Errorf("got %q", got)
	}
}

// TestEvidenceOfFormerVersions checks what the reports of a member show that tells neither cuts
// within an answer nor whole answers: that answers have begun.
func TestEvidenceOfFormerVersions(t *testing.T) {
	now := start.Add(4 * time.Second)
	former := &kcwpb.PartEvidence{Begun: []*kcwpb.BegunPart{{Part: "crashing", Answers: 1}, {Part: "class", Answers: 40}}, Answers: 40}
	var ends []step
	for i := range 5 {
		n := strconv.Itoa(i)
		ends = append(ends, step{time.Duration(i) * 700 * time.Millisecond, "u" + n, "p" + n, "class crashing"})
	}
	for _, test := range []struct {
		name  string
		steps []step
		want  []string
	}{
		{"cuts before an answer", ends, nil},
		{"cuts within an answer", within(ends), []string{"crashing"}},
	} {
		d := newDetector(t)
		play(d, slices.Concat(others(0), test.steps, []step{{3500 * time.Millisecond, "", "", "class"}}))
		if _, err := d.Merge(former, now); err != nil {
			t.Fatal(err)
		}
		if got := blocked(d.Decide(now.Add(time.Second))); !slices.Equal(got, test.want) {
			t.Errorf("%s: got %q, want %q", test.name, got, test.want)
		}
		if d.WholeSince([]string{"crashing"}, start) {
			t.Errorf("%s: an answer that has only begun ends a trial", test.name)
		}
	}
	// A member of a former version takes what it knows of these messages.
	d := newDetector(t)
	play(d, []step{{0, "u1", "p1", "a"}, {time.Second, "", "", "a"}})
	for _, b := range d.ExportAll(now).GetBegun() {
		if b.GetAnswers() != 1 || time.Duration(b.GetAgeNanos()) != 3*time.Second {
			t.Errorf("got %v", b)
		}
	}
}

// numbered returns n names that begin with prefix.
func numbered(prefix string, n int) []string {
	names := make([]string, n)
	for i := range names {
		names[i] = prefix + strconv.Itoa(i)
	}
	return names
}

// TestPartBehindManyOthers guards against a part that crashes upstreams and is not seen since it
// stands behind many others. Routers report to a detector what they suspect.
func TestPartBehindManyOthers(t *testing.T) {
	for _, others := range []int{0, 15, 16, 18, 124, kcwdetector.MaxParts - 1} {
		core := newDetector(t)
		for i := range 3 {
			now := start.Add(time.Duration(i) * time.Second)
			router := newDetector(t)
			sound := numbered("sound"+strconv.Itoa(i)+"-", others)
			c := kcwdetector.Cut{Request: strconv.Itoa(i), Upstream: "u" + strconv.Itoa(i), Prompt: strconv.Itoa(i), Parts: append(sound, "crashing"), At: now}
			if !router.Cut(c) {
				t.Fatalf("%d others: the cut is ignored", others)
			}
			evidence := router.ExportAll(now)
			for _, m := range evidence.GetCuts() {
				// Members of former versions refuse a report with more.
				if len(m.GetParts()) > 16 {
					t.Errorf("%d others: %d parts in the field that former versions read", others, len(m.GetParts()))
				}
			}
			if _, err := core.Merge(evidence, now); err != nil {
				t.Errorf("%d others: %v", others, err)
			}
			for i := range 200 {
				core.Complete([]string{"other" + strconv.Itoa(i)}, true, now, now)
			}
		}
		if got := blocked(core.Decide(start.Add(3 * time.Second))); !slices.Equal(got, []string{"crashing"}) {
			t.Errorf("%d others: got %q", others, got)
		}
	}
}

// TestMostSuspected checks which parts of a long prompt are reported.
func TestMostSuspected(t *testing.T) {
	d := newDetector(t)
	play(d, []step{{0, "", "", "early"}, {time.Second, "", "", "late"}, {3 * time.Second, "", "", "since"}})
	c := kcwdetector.Cut{Parts: []string{"late", "since", "early", "new"}, At: start.Add(2 * time.Second)}
	for _, test := range []struct {
		bytes int
		want  string
	}{
		{100, "new early late"}, {12, "new early"}, {5, "new"}, {0, "new"},
	} {
		if got := strings.Join(d.MostSuspected(c, test.bytes), " "); got != test.want {
			t.Errorf("%d bytes: got %q, want %q", test.bytes, got, test.want)
		}
	}
	c.Parts = []string{"since"}
	if got := d.MostSuspected(c, 100); !slices.Equal(got, []string{"since"}) {
		t.Errorf("a cut without suspected parts: got %q", got)
	}
}

// TestPartsOfCutsAreBounded checks that cuts of long prompts displace earlier ones, that few of
// their parts are passed on to routers, and that a set of very many parts is not blocked.
func TestPartsOfCutsAreBounded(t *testing.T) {
	d := newDetector(t)
	parts := numbered("p", 100)
	for i := range 30 {
		n := strconv.Itoa(i)
		d.Cut(kcwdetector.Cut{Request: n, Upstream: "u" + n, Prompt: n, Parts: append(slices.Clone(parts), "own"+n), At: start.Add(time.Duration(i) * time.Second)})
	}
	now := start.Add(31 * time.Second)
	for i := range 200 {
		d.Complete([]string{"other" + strconv.Itoa(i)}, true, now, now)
	}
	if n := len(d.ExportAll(now).GetCuts()); n != config().MaxCutParts/(len(parts)+1) {
		t.Errorf("%d cuts of %d parts are kept", n, len(parts)+1)
	}
	cuts, _ := d.CutsSince(0, 100)
	for _, c := range cuts {
		if len(c.Parts) != 16 || slices.Contains(c.Parts, "own"+c.Request) {
			t.Errorf("a router gets %q", c.Parts)
		}
	}
	if got := blocked(d.Decide(now)); len(got) > 0 {
		t.Errorf("got %q", got)
	}
	d.Complete(parts[1:], true, now, now)
	if got := blocked(d.Decide(now)); !slices.Equal(got, []string{"p0"}) {
		t.Errorf("after answers to the others: got %q", got)
	}
}

// TestClockBeforeEpoch checks that a host whose clock is set before 1970 counts answers.
func TestClockBeforeEpoch(t *testing.T) {
	d := newDetector(t)
	at := time.Unix(-12345, 0)
	d.Complete([]string{"a"}, true, at, at)
	if !d.WholeSince([]string{"a"}, at) {
		t.Error("the answer is not known")
	}
}

func TestInvalidConfig(t *testing.T) {
	for _, change := range []func(c *kcwdetector.Config){
		func(c *kcwdetector.Config) { c.MinMoments = 0 },
		func(c *kcwdetector.Config) { c.EndSpan = 0 },
		func(c *kcwdetector.Config) { c.MaxParts = -1 },
		func(c *kcwdetector.Config) { c.MaxChance = 0 },
		func(c *kcwdetector.Config) { c.MaxChance = 1 },
		func(c *kcwdetector.Config) { c.Batch.MinEnds = 0 },
		func(c *kcwdetector.Config) { c.Batch.EndShare = 1 },
	} {
		cfg := config()
		change(&cfg)
		_, err := kcwdetector.New(cfg)
		var e *kcwdetector.Error
		if !errors.As(err, &e) || e.Kind != kcwdetector.Invalid {
			t.Errorf("%+v: got %v", cfg, err)
		}
	}
}
