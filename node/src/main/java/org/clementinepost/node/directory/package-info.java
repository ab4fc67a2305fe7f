/** The directory: which backend servers each service has, and on which hosts they run. */
package org.clementinepost.node.directory;
