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

// bookFixture is a fixture whose fake leader applies commands to a book.
type bookFixture struct {
	*fixture
	book *kcwbook.Book
}

func newBookFixture(t *testing.T) *bookFixture {
	t.Helper()
	f := &bookFixture{fixture: newFixture(t), book: kcwbook.New()}
	f.operator.answers = []func() (*kcwpb.Result, error){func() (*kcwpb.Result, error) {
		commands := f.operator.commands
		return f.execute(commands[len(commands)-1])
	}}
	return f
}

// execute applies a command to the book and updates the leader's list.
func (f *bookFixture) execute(cmd *kcwpb.Command) (*kcwpb.Result, error) {
	data, err := proto.Marshal(cmd)
	if err != nil {
		return nil, err
	}
	result := new(kcwpb.Result)
	if err := proto.Unmarshal(f.book.Apply(0, data), result); err != nil {
		return nil, err
	}
	f.operator.list = &kcwpb.ListResponse{Contracts: f.book.Contracts(), Changes: f.book.Changes("parish")}
	return result, nil
}

// topUp adds tokens as a change of another operator.
func (f *bookFixture) topUp(t *testing.T, change string, tokens int64) {
	t.Helper()
	result, err := f.execute(&kcwpb.Command{Op: &kcwpb.Command_TopUp{TopUp: &kcwpb.TopUp{Change: change, Customer: "parish", Tokens: tokens}}})
	if err != nil || result.Code != kcwpb.Code_CODE_OK {
		t.Fatal(result, err)
	}
}

// file writes a contract with prepaid tokens and a priority, and returns its
// path.
func (f *bookFixture) file(t *testing.T, name string, prepaid, priority int) string {
	t.Helper()
	path := filepath.Join(f.folder, name)
	text := fmt.Sprintf(`{"Customer": "parish", "PrepaidTokens": %d, "Priority": %d, "Limits": {"OpenRequests": 5, "RequestsPerMinute": 60,
		"TokensPerMinute": 9000, "MaxPromptTokens": 800, "MaxCompletionTokens": 400, "DefaultCompletionTokens": 50, "QueueDeadline": "5s"},
		"Keys": [], "Models": [{"Name": "survey", "Upstream": "kcw-model"}]}`, prepaid, priority)
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	return path
}

// expect runs a command, then checks its exit code and the prepaid tokens and
// revision of the contract.
func (f *bookFixture) expect(t *testing.T, want Kind, prepaid int64, revision uint64, args ...string) {
	t.Helper()
	if got := f.run(args...); got != want {
		t.Fatalf("%v: got %v, want %v: %s", args, got, want, f.err.String())
	}
	current := f.book.Contract("parish")
	if current.GetPrepaidTokens() != prepaid || current.GetRevision() != revision {
		t.Fatalf("%v: the contract has %d tokens at revision %d, want %d at %d", args, current.GetPrepaidTokens(), current.GetRevision(), prepaid, revision)
	}
}

// edit replaces the first occurrence of a text in a file.
func edit(t *testing.T, path, old, replacement string) {
	t.Helper()
	data, err := os.ReadFile(path)
	if err != nil || !strings.Contains(string(data), old) {
		t.Fatalf("%s holds no %s: %v", path, old, err)
	}
	if err := os.WriteFile(path, []byte(strings.Replace(string(data), old, replacement, 1)), 0o600); err != nil {
		t.Fatal(err)
	}
}

// TestApplyKeepsTopUp checks that applying a file from before a top-up doesn't undo
// the top-up, even with the newest base, unless -set-prepaid is given.
func TestApplyKeepsTopUp(t *testing.T) {
	f := newBookFixture(t)
	path := f.file(t, "parish.json", 1000, 1)
	f.expect(t, OK, 1000, 1, "apply", path)
	f.topUp(t, "t-1", 500)
	f.expect(t, Stale, 1500, 2, "apply", path)
	f.expect(t, Refused, 1500, 2, "apply", "-base", "2", path)
	if text := f.err.String(); !strings.Contains(text, "1500") || !strings.Contains(text, "1000") {
		t.Errorf("the numbers are missing: %s", text)
	}
	if got := len(f.operator.commands); got != 1 {
		t.Errorf("%d commands were sent, want 1", got)
	}
	f.expect(t, Stale, 1500, 2, "apply", "-set-prepaid", path)
	f.expect(t, OK, 1000, 3, "apply", "-base", "2", "-set-prepaid", path)
}

// TestApplyWithoutBase checks that a file without the right base doesn't overwrite
// a contract, unless the contract was deleted.
func TestApplyWithoutBase(t *testing.T) {
	f := newBookFixture(t)
	f.expect(t, OK, 1000, 1, "apply", f.file(t, "first.json", 1000, 1))
	for _, args := range [][]string{{"apply"}, {"apply", "-set-prepaid"}, {"apply", "-base", "0"}, {"apply", "-base", "9"}} {
		f.expect(t, Stale, 1000, 1, append(args, f.file(t, "second.json", 1000, 2))...)
	}
	deleted := proto.Clone(f.book.Contract("parish")).(*kcwpb.Contract)
	deleted.Deleted = true
	op := &kcwpb.PutContract{Change: "d-1", Base: 1, Contract: deleted}
	if result, err := f.execute(&kcwpb.Command{Op: &kcwpb.Command_PutContract{PutContract: op}}); err != nil || result.Code != kcwpb.Code_CODE_OK {
		t.Fatal(result, err)
	}
	f.expect(t, Refused, 1000, 2, "apply", f.file(t, "anew.json", 400, 1))
	f.expect(t, OK, 400, 3, "apply", "-set-prepaid", f.file(t, "anew.json", 400, 1))
}

// TestGetEditApply checks that apply is refused if the contract was changed since
// get.
func TestGetEditApply(t *testing.T) {
	for _, between := range []string{"nothing", "a top-up", "an amendment", "a top-up taken back"} {
		t.Run(between, func(t *testing.T) {
			f := newBookFixture(t)
			other := f.file(t, "other.json", 1000, 1)
			f.expect(t, OK, 1000, 1, "apply", other)
			mine := filepath.Join(f.folder, "mine.json")
			f.expect(t, OK, 1000, 1, "get", "-file", mine, "parish")
			if base, err := readBase(mine); err != nil || base != 1 {
				t.Fatalf("get wrote base %d, %v", base, err)
			}
			edit(t, mine, `"Priority": 1`, `"Priority": 3`)
			want, prepaid, revision := Stale, int64(1000), uint64(2)
			switch between {
			case "nothing":
				want = OK
			case "a top-up":
				f.topUp(t, "t-1", 500)
				prepaid = 1500
			case "an amendment":
				edit(t, other, `"Priority": 1`, `"Priority": 2`)
				f.expect(t, OK, 1000, 2, "apply", other)
			case "a top-up taken back":
				f.topUp(t, "t-1", 500)
				f.topUp(t, "t-2", -500)
				revision = 3
			}
			f.expect(t, want, prepaid, revision, "apply", mine)
		})
	}
}

// TestTopUpBetweenCheckAndChange tops up after apply has compared the prepaid
// tokens and before it submits its change.
func TestTopUpBetweenCheckAndChange(t *testing.T) {
	f := newBookFixture(t)
	path := f.file(t, "parish.json", 1000, 1)
	f.expect(t, OK, 1000, 1, "apply", path)
	execute := f.operator.answers[0]
	f.operator.answers = []func() (*kcwpb.Result, error){func() (*kcwpb.Result, error) {
		f.topUp(t, "t-1", 500)
		return execute()
	}}
	f.expect(t, Stale, 1500, 2, "apply", path)
}

// TestApplyAgain sends an executed change again after a top-up.
func TestApplyAgain(t *testing.T) {
	f := newBookFixture(t)
	path := f.file(t, "parish.json", 1000, 1)
	f.expect(t, OK, 1000, 1, "apply", "-change", "c-1", path)
	f.topUp(t, "t-1", 500)
	f.expect(t, OK, 1500, 2, "apply", "-base", "0", "-change", "c-1", path)
	if base, err := readBase(path); err != nil || base != 1 {
		t.Errorf("the base is %d after a repeated change, want 1: %v", base, err)
	}
	f.expect(t, Refused, 1500, 2, "apply", "-base", "2", "-change", "c-1", path)
}
