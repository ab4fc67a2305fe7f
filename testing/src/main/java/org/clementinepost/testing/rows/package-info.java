/** A stand-in of a metadata store that tells of changes, and of backend servers beside it. */
package org.clementinepost.testing.rows;
