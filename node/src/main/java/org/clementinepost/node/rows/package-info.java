/** The availability of the store for the services that read its rows. */
package org.clementinepost.node.rows;
