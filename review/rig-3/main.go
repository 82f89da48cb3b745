package rig3

import (
	"fmt"
	"os"
	"time"
)

// spell and calm are the length of one disruption, the for_s of the sheet, and the pause before the next one.
const spell, calm = 5 * time.Second, time.Second

// InSpell reports whether a disruption lasts at present.
func (r *Rig) InSpell() bool { return Trouble() && time.Since(r.began)%(spell+calm) < spell }

// Trouble reports whether the case is to run with its disruption.
func Trouble() bool { return os.Getenv("TROUBLE") != "0" }

// Main runs a case on a new rig and returns the exit status. The record goes to the file that RECORD names.
func Main(run func(*Rig) (int, error), zones ...string) int {
	record, err := os.Create(os.Getenv("RECORD"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return NotRun
	}
	defer record.Close()
	r, err := New(record, zones...)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return NotRun
	}
	status, err := run(r)
	r.Close()
	if err != nil {
		r.Note("the case could not run: %v", err)
		fmt.Fprintln(os.Stderr, err)
	}
	r.Note("exit status %d", status)
	return status
}

// StartAll starts three coordinators for the first time, and gateways.
func (r *Rig) StartAll(gateways int) error {
	for i := 1; i <= 3; i++ {
		if err := r.Coordinator(i, true); err != nil {
			return err
		}
	}
	for i := 1; i <= gateways; i++ {
		if err := r.Gateway(i); err != nil {
			return err
		}
	}
	return nil
}
