/** Operators' configuration files and the objects read from them, before any checks. */
package org.clementinepost.storage.config.source;
