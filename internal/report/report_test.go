package report

import (
	"os"
	"path/filepath"
	"testing"
)

// Other tools read result.json by its keys, so the file must stay the same byte for byte.
func TestSaveWritesResultJSON(t *testing.T) {
	dir := t.TempDir()
	r := &Report{Name: "pools", Title: "Pools", Head: []string{"CLASS"}, Rows: [][]string{{"search"}},
		Notes: []string{"1 s"}}
	r.AddFigure("seed", "%d", 1)
	r.SetBroken("%s lost", "search")
	if err := r.Save(dir); err != nil {
		t.Fatal(err)
	}
	got, err := os.ReadFile(filepath.Join(dir, "result.json"))
	if err != nil {
		t.Fatal(err)
	}
	const expected = `{
 "broken": "search lost",
 "figures": [
  {
   "key": "seed",
   "value": "1"
  }
 ],
 "head": [
  "CLASS"
 ],
 "name": "pools",
 "notes": [
  "1 s"
 ],
 "rows": [
  [
   "search"
  ]
 ]
}
`
	if string(got) != expected {
		t.Errorf("result.json is %s, want %s", got, expected)
	}
}
