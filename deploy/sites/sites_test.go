// Package sites has no code: its tests validate the site files of this folder, each in a subfolder of the site's name.
// Only benchmarks read these files.
package sites

import (
	"encoding/json"
	"math"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"

	"github.com/BurntSushi/toml"
)

// siteFile holds the classes and tenants of a site file.
type siteFile struct {
	Name  string
	Class []struct {
		Name     string
		Share    float64
		WorkMS   []float64 `toml:"work_ms"`
		AimMS    float64   `toml:"aim_ms"`
		Deadline float64   `toml:"deadline_ms"`
		Worth    float64
		Effect   string
		Write    bool
		WindowMS float64 `toml:"window_ms"`
	}
	Tenant []struct {
		Name  string
		Share float64
	}
	Fam struct {
		Class []struct{ Calls, Memory float64 }
	}
}

// siteFolders returns the names of the sites' folders.
func siteFolders(t *testing.T) []string {
	t.Helper()
	files, err := filepath.Glob("*/*.toml")
	if err != nil || len(files) < 2 {
		t.Fatalf("found %d sites (%v), want at least 2", len(files), err)
	}
	var folders []string
	for _, file := range files {
		folders = append(folders, filepath.Dir(file))
	}
	return folders
}

func readSite(t *testing.T, folder string) (s siteFile) {
	t.Helper()
	if _, err := toml.DecodeFile(filepath.Join(folder, folder+".toml"), &s); err != nil {
		t.Fatal(err)
	}
	return s
}

func TestSitesAreValid(t *testing.T) {
	for _, folder := range siteFolders(t) {
		s := readSite(t, folder)
		if s.Name != folder {
			t.Errorf("%s: name is %q, want the folder's name", folder, s.Name)
		}
		checkClasses(t, s)
		checkTenants(t, s)
		for _, name := range []string{"real.json", "wire.json"} {
			text, err := os.ReadFile(filepath.Join(folder, name))
			var fields map[string]any
			if err == nil {
				err = json.Unmarshal(text, &fields)
			}
			if err != nil || fields["family"] != "server" {
				t.Errorf("%s/%s: error %v, family %v, want JSON with the family server", folder, name, err,
					fields["family"])
			}
		}
		checkUnlock(t, filepath.Join(folder, "unlock.txt"))
	}
}

func checkClasses(t *testing.T, s siteFile) {
	t.Helper()
	total, seen := 0.0, map[string]bool{}
	for _, c := range s.Class {
		total += c.Share
		if c.Name == "" || seen[c.Name] {
			t.Errorf("%s: class name %q is empty or not unique", s.Name, c.Name)
		}
		seen[c.Name] = true
		if len(c.WorkMS) != 2 || c.WorkMS[0] > c.WorkMS[1] || c.WorkMS[1] >= c.AimMS || c.AimMS >= c.Deadline ||
			c.Worth <= 0 {
			t.Errorf("%s: class %s has work %v, aim %v, deadline %v, worth %v; want rising times and a worth above 0",
				s.Name, c.Name, c.WorkMS, c.AimMS, c.Deadline, c.Worth)
		}
		if (c.Effect == "keyed") != (c.WindowMS > 0) || (c.Effect == "safe") == c.Write {
			t.Errorf("%s: class %s has effect %q with window %v and write %v; want a window for keyed only, "+
				"and write for all but safe", s.Name, c.Name, c.Effect, c.WindowMS, c.Write)
		}
	}
	if len(s.Class) == 0 || math.Abs(total-1) > 0.01 {
		t.Errorf("%s: the shares of %d classes add up to %v, want 1", s.Name, len(s.Class), total)
	}
	if len(s.Fam.Class) != len(s.Class) {
		t.Errorf("%s: got %d descriptions of calls, want one for each of %d classes", s.Name, len(s.Fam.Class),
			len(s.Class))
	}
}

func checkTenants(t *testing.T, s siteFile) {
	t.Helper()
	total, seen := 0.0, map[string]bool{}
	for _, tenant := range s.Tenant {
		total += tenant.Share
		if tenant.Name == "" || seen[tenant.Name] {
			t.Errorf("%s: tenant name %q is empty or not unique", s.Name, tenant.Name)
		}
		seen[tenant.Name] = true
	}
	if math.Abs(total-1) > 0.02 {
		t.Errorf("%s: the shares of %d tenants add up to %v, want 1", s.Name, len(s.Tenant), total)
	}
}

var unlockLine = regexp.MustCompile(`^unlock [a-z_]+(,[a-z_]+)* [0-9a-f]{16}$`)

func checkUnlock(t *testing.T, file string) {
	t.Helper()
	text, err := os.ReadFile(file)
	if err != nil {
		t.Error(err)
		return
	}
	for i, line := range strings.Split(strings.TrimSpace(string(text)), "\n") {
		if !unlockLine.MatchString(line) {
			t.Errorf("%s:%d: got %q, want \"unlock KINDS CODE\"", file, i+1, line)
		}
	}
}

// Programs and deploy files must not contain the name of a class or tenant, which come from the settings only.
func TestProgramsNameNoClassOrTenant(t *testing.T) {
	var quoted []string
	for _, folder := range siteFolders(t) {
		s := readSite(t, folder)
		for _, c := range s.Class {
			quoted = append(quoted, `"`+c.Name+`"`)
		}
		for _, tenant := range s.Tenant {
			quoted = append(quoted, `"`+tenant.Name+`"`)
		}
	}
	for _, pattern := range []string{"../*.toml", "../*.ini", "../../admission/*.go", "../../internal/*/*.go",
		"../../cmd/*/*.go"} {
		files, err := filepath.Glob(pattern)
		if err != nil || len(files) == 0 {
			t.Fatalf("%s matches %d files (%v), want at least one", pattern, len(files), err)
		}
		for _, file := range files {
			text, err := os.ReadFile(file)
			if err != nil {
				t.Fatal(err)
			}
			for _, name := range quoted {
				if !strings.HasSuffix(file, "_test.go") && strings.Contains(string(text), name) {
					t.Errorf("%s contains the name %s", file, name)
				}
			}
		}
	}
}
