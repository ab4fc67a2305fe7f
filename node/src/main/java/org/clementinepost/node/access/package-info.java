/** The task that tells customers from their keys. */
package org.clementinepost.node.access;
