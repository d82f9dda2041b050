package report

import (
	"os"
	"path/filepath"
	"testing"
)

// TestSaveWritesResultJSON: other tools read result.json by its keys. A report is saved, and the file is what they
// expect, byte for byte.
func TestSaveWritesResultJSON(t *testing.T) {
	dir := t.TempDir()
	r := &Report{Name: "pools", Title: "Pools", Head: []string{"CLASS"}, Rows: [][]string{{"search"}},
		Notes: []string{"1 s"}}
	r.Add("seed", "%d", 1)
	r.Break("%s lost", "search")
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
		t.Errorf("found %s, expected %s", got, expected)
	}
}
