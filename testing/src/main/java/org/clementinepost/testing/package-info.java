/** What the stand-ins and the golden sessions share. */
package org.clementinepost.testing;
