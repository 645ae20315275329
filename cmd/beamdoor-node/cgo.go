package main

// The platform requires programs that are linked with the C library. The constructor
// ignores SIGHUP until the Go runtime has started and package hangup handles the signal;
// by default it would terminate the process. An early SIGHUP is lost, which is harmless:
// the settings are read afterwards.

/*
#include <signal.h>

__attribute__((constructor)) static void ignore_hangup(void) { signal(SIGHUP, SIG_IGN); }
*/
import "C"
