/** Log output as JSON lines that never blocks a task. */
package org.clementinepost.kernel.logging;
