package kcwbook_test

import (
	"bytes"
	"errors"
	"fmt"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"kingcupwick.example/kcw/kcwbook"
	"kingcupwick.example/kcw/kcwpb"
)

func TestMalformed(t *testing.T) {
	l := newStockedLedger(t)
	before := snapshot(t, l.book)
	for _, data := range [][]byte{nil, {0xff}, bytes.Repeat([]byte{0x0a}, 9), []byte("hello")} {
		result := new(kcwpb.Result)
		if err := proto.Unmarshal(l.book.Apply(9, data), result); err != nil {
			t.Fatal(err)
		}
		l.wantCode(result, kcwpb.Code_CODE_INVALID)
	}
	for _, command := range []*kcwpb.Command{
		{},
		{At: -1, Op: &kcwpb.Command_TopUp{}},
		{Op: &kcwpb.Command_PutContract{PutContract: &kcwpb.PutContract{Change: "c"}}},
		{Op: &kcwpb.Command_PutContract{PutContract: &kcwpb.PutContract{Change: "c", Contract: &kcwpb.Contract{Customer: "Upper"}}}},
		{Op: &kcwpb.Command_RegisterRouter{RegisterRouter: &kcwpb.RegisterRouter{Router: "a"}}},
		{Op: &kcwpb.Command_OpenClaim{OpenClaim: &kcwpb.OpenClaim{Customer: customer, Request: "r", Tokens: -1}}},
		{Op: &kcwpb.Command_OpenClaim{OpenClaim: &kcwpb.OpenClaim{Customer: customer, Request: "r", Digest: []byte{1}}}},
		{Op: &kcwpb.Command_SettleClaim{SettleClaim: &kcwpb.SettleClaim{Customer: customer, Request: "r"}}},
		{Op: &kcwpb.Command_DrawGrant{DrawGrant: &kcwpb.DrawGrant{Customer: customer, Router: "a", Incarnation: 1}}},
		{Op: &kcwpb.Command_ResolveClaim{ResolveClaim: &kcwpb.ResolveClaim{Change: "c", Outcome: unknown}}},
	} {
		data, err := proto.Marshal(command)
		if err != nil {
			t.Fatal(err)
		}
		result := new(kcwpb.Result)
		if err := proto.Unmarshal(l.book.Apply(9, data), result); err != nil {
			t.Fatal(err)
		}
		l.wantCode(result, kcwpb.Code_CODE_INVALID)
	}
	if after := snapshot(t, l.book); !bytes.Equal(before, after) {
		t.Error("a malformed command changed the book")
	}
}

func TestContractChanges(t *testing.T) {
	l := newLedger(t)
	key := bytes.Repeat([]byte{7}, 32)
	first := &kcwpb.Contract{Customer: customer, PrepaidTokens: 100, KeyHashes: [][]byte{key}}
	if got := l.wantCode(l.put("c-1", 0, first), ok); got.GetRevision() != 1 {
		t.Fatalf("revision %d", got.GetRevision())
	}
	if got := l.wantCode(l.put("c-1", 0, first), repeated); got.GetRevision() != 1 {
		t.Fatalf("a resend gave revision %d", got.GetRevision())
	}
	l.wantCode(l.put("c-1", 0, &kcwpb.Contract{Customer: customer, PrepaidTokens: 7}), kcwpb.Code_CODE_MISMATCH)
	accepted := l.wantCode(l.put("c-2", 1, &kcwpb.Contract{Customer: customer, PrepaidTokens: 200, KeyHashes: [][]byte{key}}), ok)
	refused := l.wantCode(l.put("c-3", 1, &kcwpb.Contract{Customer: customer, PrepaidTokens: 300}), kcwpb.Code_CODE_STALE_REVISION)
	if refused.GetRevision() != accepted.GetRevision() || refused.GetContract().GetChange() != "c-2" {
		t.Fatalf("the refused change got %v", refused)
	}
	l.wantCode(l.put("c-1", 0, &kcwpb.Contract{Customer: "kviitung", KeyHashes: [][]byte{key}}), kcwpb.Code_CODE_INVALID)
	if l.book.ContractByKey(key).GetCustomer() != customer {
		t.Error("the key is not found")
	}
	l.wantCode(l.put("c-4", 2, &kcwpb.Contract{Customer: customer, PrepaidTokens: 200, Deleted: true}), ok)
	if l.book.ContractByKey(key) != nil {
		t.Error("the key of a deleted contract is found")
	}
	l.wantCode(l.put("c-1", 0, &kcwpb.Contract{Customer: "kviitung", KeyHashes: [][]byte{key}}), ok)
	list, revision := l.book.Since(2)
	if len(list) != 2 || revision != 4 || !list[0].GetDeleted() || list[1].GetCustomer() != "kviitung" {
		t.Errorf("since revision 2: got contracts %v, revision %d", list, revision)
	}
	if changes := l.book.Changes(customer); len(changes) != 3 || changes[2].GetChange() != "c-4" {
		t.Errorf("changes %v", changes)
	}
}

func TestReduction(t *testing.T) {
	l := newStockedLedger(t)
	l.wantCode(l.open(opening("a", "r-1", 600)), ok)
	l.wantCode(l.topUp("t-1", -700), ok)
	l.wantBudget(600, 0, 600, 0, 300)
	l.wantCode(l.topUp("t-1", -700), repeated)
	l.wantBudget(600, 0, 600, 0, 300)
	l.wantCode(l.open(opening("a", "r-2", 1)), kcwpb.Code_CODE_EXHAUSTED)
	l.wantCode(l.topUp("t-2", -301), kcwpb.Code_CODE_INVALID)
	l.wantCode(l.topUp("t-3", 100), ok)
	l.wantBudget(600, 0, 600, 0, 200)
	l.wantCode(l.settle(settling("a", "r-1", ran, 500)), ok)
	l.wantBudget(500, 500, 0, 0, 100)
	l.wantCode(l.topUp("t-4", 1<<62), kcwpb.Code_CODE_INVALID)
	if contract := l.book.Contract(customer); contract.GetPrepaidTokens() != 400 || contract.GetRevision() != 3 {
		t.Errorf("contract %v", contract)
	}
}

func TestLimits(t *testing.T) {
	l := newLedger(t)
	l.wantCode(l.put("c-1", 0, &kcwpb.Contract{
		Customer: customer, PrepaidTokens: 1_000_000,
		Limits: &kcwpb.Limits{OpenRequests: 2, RequestsPerMinute: 4, TokensPerMinute: 1000},
	}), ok)
	l.wantCode(l.register("a", 1), ok)
	l.wantCode(l.register("b", 1), ok)
	l.wantCode(l.open(opening("a", "r-1", 500)), ok)
	l.wantCode(l.open(opening("b", "r-2", 400)), ok)
	l.wantCode(l.open(opening("b", "r-3", 10)), kcwpb.Code_CODE_LIMITED)
	l.wantCode(l.settle(settling("a", "r-1", ran, 300)), ok)
	got := l.wantCode(l.open(opening("b", "r-3", 500)), kcwpb.Code_CODE_LIMITED)
	if want := l.now + int64(12*time.Second); got.GetRetryAt() != want {
		t.Errorf("200 tokens over the limit: retry at %d, want %d", got.GetRetryAt(), want)
	}
	l.now = got.GetRetryAt() - 1
	l.wantCode(l.open(opening("b", "r-3", 500)), kcwpb.Code_CODE_LIMITED)
	l.now++
	l.wantCode(l.open(opening("b", "r-3", 500)), ok)
	for _, request := range []string{"r-1", "r-2", "r-3"} {
		l.settle(settling("b", request, ran, 0))
	}
	l.wantCode(l.open(opening("b", "r-4", 0)), ok)
	got = l.wantCode(l.open(opening("b", "r-5", 0)), kcwpb.Code_CODE_LIMITED)
	if want := start + int64(15*time.Second); got.GetRetryAt() != want {
		t.Errorf("the fifth request: retry at %d, want %d", got.GetRetryAt(), want)
	}
}

func TestRetention(t *testing.T) {
	l := newStockedLedger(t)
	once := opening("a", "once", 10)
	once.Repeatable = false
	for _, op := range []*kcwpb.OpenClaim{opening("a", "again", 10), once} {
		l.wantCode(l.open(op), ok)
		l.wantCode(l.settle(settling("a", op.GetRequest(), ran, 10)), ok)
	}
	l.wantCode(l.draw("b", 100, 1, 1), ok)
	l.now += int64(time.Hour)
	l.wantCode(l.open(opening("a", "again", 10)), kcwpb.Code_CODE_BILLED)
	l.wantCode(l.returnGrant("b", 0, 2), ok)
	l.wantCode(l.open(opening("a", "again", 10)), ok)
	l.wantCode(l.open(once), kcwpb.Code_CODE_BILLED)
	l.now += int64(31 * 24 * time.Hour)
	l.wantCode(l.returnGrant("b", 100, 3), ok)
	l.wantCode(l.open(once), ok)
}

func TestTimeNeverGoesBack(t *testing.T) {
	l := newStockedLedger(t)
	l.now += int64(time.Minute)
	l.wantCode(l.open(opening("a", "r", 1)), ok)
	l.now -= int64(time.Hour)
	l.wantCode(l.open(opening("a", "q", 1)), ok)
	if r, q := l.book.Claim(customer, "r"), l.book.Claim(customer, "q"); r.GetOpenedAt() != q.GetOpenedAt() {
		t.Errorf("opened at %d then %d", r.GetOpenedAt(), q.GetOpenedAt())
	}
}

// snapshot returns a snapshot of the book.
func snapshot(t testing.TB, book *kcwbook.Book) []byte {
	t.Helper()
	var out bytes.Buffer
	if err := book.Freeze()(&out); err != nil {
		t.Fatal(err)
	}
	return out.Bytes()
}

func TestRestoreRefusesDamage(t *testing.T) {
	l := newStockedLedger(t)
	l.wantCode(l.open(opening("a", "r", 100)), ok)
	l.wantCode(l.draw("a", 100, 1, 1), ok)
	intact := snapshot(t, l.book)
	book := kcwbook.New()
	refuse := func(name string, data []byte) {
		var typed *kcwbook.Error
		if err := book.Restore(bytes.NewReader(data)); !errors.As(err, &typed) || typed.Kind != kcwbook.KindDamaged {
			t.Errorf("%s: error %v", name, err)
		}
	}
	for i := range intact {
		refuse(fmt.Sprintf("cut at %d", i), intact[:i])
		for bit := range 8 {
			flipped := bytes.Clone(intact)
			flipped[i] ^= 1 << bit
			refuse(fmt.Sprintf("bit %d of byte %d flipped", bit, i), flipped)
		}
	}
	refuse("byte added", append(bytes.Clone(intact), 0))
	if book.Revision() != 0 {
		t.Error("a refused snapshot changed the book")
	}
	if err := book.Restore(bytes.NewReader(intact)); err != nil {
		t.Fatal(err)
	}
	if !bytes.Equal(intact, snapshot(t, book)) {
		t.Error("the restored book differs")
	}
}
