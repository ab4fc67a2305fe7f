/** Which backend servers answer for a service. */
package org.clementinepost.node.directory;
