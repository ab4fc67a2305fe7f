/** Who may send a request, and for which customer it runs. */
package org.clementinepost.policy.access;
