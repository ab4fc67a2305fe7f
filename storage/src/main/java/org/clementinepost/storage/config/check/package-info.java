/** The checks that a set of objects passes before it is published, one per file. */
package org.clementinepost.storage.config.check;
