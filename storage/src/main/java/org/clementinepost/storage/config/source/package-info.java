/** Operators' files and the objects in them, as they were written. */
package org.clementinepost.storage.config.source;
