/** A micro-kernel: service lookup by name, tasks with bounded mailboxes, and timers. */
package org.clementinepost.kernel;
