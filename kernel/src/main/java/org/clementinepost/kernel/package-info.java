/** Services found by name, tasks with bounded mailboxes, their life cycle, and timers. */
package org.clementinepost.kernel;
