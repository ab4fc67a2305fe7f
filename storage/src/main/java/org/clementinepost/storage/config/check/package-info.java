/** Checks that a set of objects must pass before it is published, one per file. */
package org.clementinepost.storage.config.check;
