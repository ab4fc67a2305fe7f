/** Utilities shared by the stand-ins. */
package org.clementinepost.testing;
