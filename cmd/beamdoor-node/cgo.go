package main

// The platform wants programs that are linked with the C library. What runs before the
// language's runtime keeps SIGHUP from ending a process that has just been started: the
// runtime takes some milliseconds, on a machine with a twentieth of a core far more, and
// package hangup catches the signal only after it. A hangup that comes before is left out;
// the settings are read afterwards anyway.

/*
#include <signal.h>

__attribute__((constructor)) static void ignore_hangup(void) { signal(SIGHUP, SIG_IGN); }
*/
import "C"
