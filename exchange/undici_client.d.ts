/**
 * Type declarations for the module of undici that contains its client.
 */
declare module 'undici/lib/dispatcher/client.js' {
  import { Client } from 'undici'
  export default Client
}
