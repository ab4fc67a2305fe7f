/** Code shared by the services that watch rows of the store. */
package org.clementinepost.node.rows;
