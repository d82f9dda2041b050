package wal

import (
	"errors"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"sort"
	"syscall"
)

// FS is one folder of files, through which a log accesses the disk. File.Sync makes the content of a file durable,
// FS.Sync the names of files; nothing is durable before.
type FS interface {
	// List returns the names of the files, sorted.
	List() ([]string, error)
	// Create creates an empty file, or truncates an existing one.
	Create(name string) (File, error)
	Open(name string) (File, error)
	Rename(from, to string) error
	Remove(name string) error
	// Sync makes creations, renames and removals durable.
	Sync() error
	// Lock returns an error that wraps ErrLocked while another process holds the folder.
	Lock() (release func(), err error)
}

// File is one file of a folder.
type File interface {
	io.ReaderAt
	io.WriterAt
	Size() (int64, error)
	Truncate(size int64) error
	Sync() error
	Close() error
}

// Dir is a folder on disk.
type Dir string

// MakeDir returns a folder and creates it if it is missing.
func MakeDir(path string) (Dir, error) {
	if err := os.MkdirAll(path, 0o700); err != nil {
		return "", err
	}
	return Dir(path), nil
}

// List implements FS.
func (d Dir) List() ([]string, error) {
	entries, err := os.ReadDir(string(d))
	if err != nil {
		return nil, err
	}
	var out []string
	for _, e := range entries {
		if e.Type().IsRegular() {
			out = append(out, e.Name())
		}
	}
	sort.Strings(out)
	return out, nil
}

func (d Dir) open(name string, flag int) (File, error) {
	f, err := os.OpenFile(filepath.Join(string(d), name), os.O_RDWR|flag, 0o600)
	if err != nil {
		return nil, err
	}
	return diskFile{f}, nil
}

// Create implements FS.
func (d Dir) Create(name string) (File, error) { return d.open(name, os.O_CREATE|os.O_TRUNC) }

// Open implements FS.
func (d Dir) Open(name string) (File, error) { return d.open(name, 0) }

// Rename implements FS.
func (d Dir) Rename(from, to string) error {
	return os.Rename(filepath.Join(string(d), from), filepath.Join(string(d), to))
}

// Remove implements FS.
func (d Dir) Remove(name string) error { return os.Remove(filepath.Join(string(d), name)) }

// Sync implements FS.
func (d Dir) Sync() error {
	f, err := os.Open(string(d))
	if err != nil {
		return err
	}
	err = f.Sync()
	return errors.Join(err, f.Close())
}

// Lock implements FS.
func (d Dir) Lock() (func(), error) {
	f, err := os.OpenFile(filepath.Join(string(d), "lock"), os.O_RDWR|os.O_CREATE, 0o600)
	if err != nil {
		return nil, err
	}
	if err = syscall.Flock(int(f.Fd()), syscall.LOCK_EX|syscall.LOCK_NB); err != nil {
		f.Close()
		if errors.Is(err, syscall.EWOULDBLOCK) {
			err = ErrLocked
		}
		return nil, fmt.Errorf("%s: %w", string(d), err)
	}
	return func() { f.Close() }, nil
}

type diskFile struct{ *os.File }

func (f diskFile) Size() (int64, error) {
	info, err := f.Stat()
	if err != nil {
		return 0, err
	}
	return info.Size(), nil
}
