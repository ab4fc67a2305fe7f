/** The task in front of the backend servers of this VM. */
package org.clementinepost.node.host;
