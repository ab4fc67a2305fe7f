/** Writes what happens as JSON lines, without ever holding up a task. */
package org.clementinepost.kernel.logging;
