/** Golden tests: compare the lines of a whole session with a golden file. */
package org.clementinepost.testing.golden;
