package kcwtool

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"google.golang.org/protobuf/proto"

	"kingcupwick.example/kcw/kcwbook"
	"kingcupwick.example/kcw/kcwpb"
)

// keeper is a book that the fake leader carries out commands on.
type keeper struct {
	*bench
	book *kcwbook.Book
}

func newKeeper(t *testing.T) *keeper {
	t.Helper()
	k := &keeper{bench: newBench(t), book: kcwbook.New()}
	k.operator.answers = []func() (*kcwpb.Result, error){func() (*kcwpb.Result, error) {
		commands := k.operator.commands
		return k.put(commands[len(commands)-1])
	}}
	return k
}

// put carries out a command and shows the leader's list the outcome.
func (k *keeper) put(cmd *kcwpb.Command) (*kcwpb.Result, error) {
	data, err := proto.Marshal(cmd)
	if err != nil {
		return nil, err
	}
	result := new(kcwpb.Result)
	if err := proto.Unmarshal(k.book.Apply(0, data), result); err != nil {
		return nil, err
	}
	k.operator.list = &kcwpb.ListResponse{Contracts: k.book.Contracts(), Changes: k.book.Changes("parish")}
	return result, nil
}

// topUp has somebody else add tokens.
func (k *keeper) topUp(t *testing.T, change string, tokens int64) {
	t.Helper()
	result, err := k.put(&kcwpb.Command{Op: &kcwpb.Command_TopUp{TopUp: &kcwpb.TopUp{Change: change, Customer: "parish", Tokens: tokens}}})
	if err != nil || result.Code != kcwpb.Code_CODE_OK {
		t.Fatal(result, err)
	}
}

// file writes a contract with prepaid tokens and a priority, and returns its
// path.
func (k *keeper) file(t *testing.T, name string, prepaid, priority int) string {
	t.Helper()
	path := filepath.Join(k.folder, name)
	text := fmt.Sprintf(`{"Customer": "parish", "PrepaidTokens": %d, "Priority": %d, "Limits": {"OpenRequests": 5, "RequestsPerMinute": 60,
		"TokensPerMinute": 9000, "MaxPromptTokens": 800, "MaxCompletionTokens": 400, "DefaultCompletionTokens": 50, "QueueDeadline": "5s"},
		"Keys": [], "Models": [{"Name": "survey", "Upstream": "kcw-model"}]}`, prepaid, priority)
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	return path
}

// expect runs a command and checks its exit code, the prepaid tokens and the
// revision that stand after it.
func (k *keeper) expect(t *testing.T, want Kind, prepaid int64, revision uint64, args ...string) {
	t.Helper()
	if got := k.run(args...); got != want {
		t.Fatalf("%v: got %v, want %v: %s", args, got, want, k.err.String())
	}
	standing := k.book.Contract("parish")
	if standing.GetPrepaidTokens() != prepaid || standing.GetRevision() != revision {
		t.Fatalf("%v: %d tokens at revision %d stand, want %d at %d", args, standing.GetPrepaidTokens(), standing.GetRevision(), prepaid, revision)
	}
}

// edit replaces text in the file that get wrote.
func edit(t *testing.T, path, old, next string) {
	t.Helper()
	data, err := os.ReadFile(path)
	if err != nil || !strings.Contains(string(data), old) {
		t.Fatalf("%s holds no %s: %v", path, old, err)
	}
	if err := os.WriteFile(path, []byte(strings.Replace(string(data), old, next, 1)), 0o600); err != nil {
		t.Fatal(err)
	}
}

// TestApplyKeepsTopUp applies a file from before a top-up with the newest base.
func TestApplyKeepsTopUp(t *testing.T) {
	k := newKeeper(t)
	path := k.file(t, "parish.json", 1000, 1)
	k.expect(t, OK, 1000, 1, "apply", path)
	k.topUp(t, "t-1", 500)
	k.expect(t, Stale, 1500, 2, "apply", path)
	k.expect(t, Refused, 1500, 2, "apply", "-base", "2", path)
	if text := k.err.String(); !strings.Contains(text, "1500") || !strings.Contains(text, "1000") {
		t.Errorf("the numbers are missing: %s", text)
	}
	if got := len(k.operator.commands); got != 1 {
		t.Errorf("%d commands were sent, want 1", got)
	}
	k.expect(t, Stale, 1500, 2, "apply", "-set-prepaid", path)
	k.expect(t, OK, 1000, 3, "apply", "-base", "2", "-set-prepaid", path)
}

// TestApplyWithoutBase applies a file that was never read from the ledger.
func TestApplyWithoutBase(t *testing.T) {
	k := newKeeper(t)
	k.expect(t, OK, 1000, 1, "apply", k.file(t, "first.json", 1000, 1))
	for _, args := range [][]string{{"apply"}, {"apply", "-set-prepaid"}, {"apply", "-base", "0"}, {"apply", "-base", "9"}} {
		k.expect(t, Stale, 1000, 1, append(args, k.file(t, "second.json", 1000, 2))...)
	}
	deleted := proto.Clone(k.book.Contract("parish")).(*kcwpb.Contract)
	deleted.Deleted = true
	op := &kcwpb.PutContract{Change: "d-1", Base: 1, Contract: deleted}
	if result, err := k.put(&kcwpb.Command{Op: &kcwpb.Command_PutContract{PutContract: op}}); err != nil || result.Code != kcwpb.Code_CODE_OK {
		t.Fatal(result, err)
	}
	k.expect(t, Refused, 1000, 2, "apply", k.file(t, "anew.json", 400, 1))
	k.expect(t, OK, 400, 3, "apply", "-set-prepaid", k.file(t, "anew.json", 400, 1))
}

// TestGetEditApply changes the contract between get and apply.
func TestGetEditApply(t *testing.T) {
	for _, between := range []string{"nothing", "a top-up", "an amendment", "a top-up taken back"} {
		t.Run(between, func(t *testing.T) {
			k := newKeeper(t)
			other := k.file(t, "other.json", 1000, 1)
			k.expect(t, OK, 1000, 1, "apply", other)
			mine := filepath.Join(k.folder, "mine.json")
			k.expect(t, OK, 1000, 1, "get", "-file", mine, "parish")
			if base, err := readBase(mine); err != nil || base != 1 {
				t.Fatalf("get wrote base %d, %v", base, err)
			}
			edit(t, mine, `"Priority": 1`, `"Priority": 3`)
			want, prepaid, revision := Stale, int64(1000), uint64(2)
			switch between {
			case "nothing":
				want = OK
			case "a top-up":
				k.topUp(t, "t-1", 500)
				prepaid = 1500
			case "an amendment":
				edit(t, other, `"Priority": 1`, `"Priority": 2`)
				k.expect(t, OK, 1000, 2, "apply", other)
			case "a top-up taken back":
				k.topUp(t, "t-1", 500)
				k.topUp(t, "t-2", -500)
				revision = 3
			}
			k.expect(t, want, prepaid, revision, "apply", mine)
		})
	}
}

// TestTopUpBetweenCheckAndChange tops up after apply has compared the numbers.
func TestTopUpBetweenCheckAndChange(t *testing.T) {
	k := newKeeper(t)
	path := k.file(t, "parish.json", 1000, 1)
	k.expect(t, OK, 1000, 1, "apply", path)
	carryOut := k.operator.answers[0]
	k.operator.answers = []func() (*kcwpb.Result, error){func() (*kcwpb.Result, error) {
		k.topUp(t, "t-1", 500)
		return carryOut()
	}}
	k.expect(t, Stale, 1500, 2, "apply", path)
}

// TestApplyAgain sends a change again that was carried out, after a top-up.
func TestApplyAgain(t *testing.T) {
	k := newKeeper(t)
	path := k.file(t, "parish.json", 1000, 1)
	k.expect(t, OK, 1000, 1, "apply", "-change", "c-1", path)
	k.topUp(t, "t-1", 500)
	k.expect(t, OK, 1500, 2, "apply", "-base", "0", "-change", "c-1", path)
	if base, err := readBase(path); err != nil || base != 1 {
		t.Errorf("the base is %d after a repeated change, want 1: %v", base, err)
	}
	k.expect(t, Refused, 1500, 2, "apply", "-base", "2", "-change", "c-1", path)
}
