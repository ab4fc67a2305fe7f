/** The service that authorizes incoming requests by their keys. */
package org.clementinepost.node.access;
