/** Golden sessions: the lines of a whole session against those on file. */
package org.clementinepost.testing.golden;
