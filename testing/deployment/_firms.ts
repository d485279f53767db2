/**
 * Hosts, model, service and callers of the two firms whose deployments the tests run.
 */

/** A firm that runs a deployment. */
export enum Firm {
  Fleuve = 'fleuve',
  Velluto = 'velluto'
}

/** An availability zone and its region. */
export interface Zone {
  availabilityZone: string
  region: string
}

/** A firm's deployment: its zones, what it serves, its default numbers of hosts and two of its callers. */
export interface FirmLayout {
  zones: Zone[]
  /** Name of the model; its backend servers are named `MODEL-NUMBER`. */
  model: string
  version: string
  /** Name of the plain service; its backend servers are named `SERVICE-NUMBER`. */
  service: string
  /** Path of the service call that is not idempotent. */
  writePath: string
  /** Path prefix of the idempotent service calls. */
  readPath: string
  /** Default number of engines that start as prefill. */
  prefill: number
  /** Default number of engines that start as decode. */
  decode: number
  /** Default number of plain service hosts. */
  services: number
  paidTier: string
  freeTier: string
  /** API key of the paid caller. */
  paidKey: string
  /** API key of the free caller. */
  freeKey: string
  paidCaller: string
  freeCaller: string
}

/** Layout of each firm. */
export const firmLayouts: { [K in Firm]: FirmLayout } = {
  [Firm.Fleuve]: {
    zones: [
      { availabilityZone: 'rimouski', region: 'qc-est' },
      { availabilityZone: 'levis', region: 'qc-est' },
      { availabilityZone: 'gatineau', region: 'qc-ouest' }
    ],
    model: 'redaction',
    version: 'v1',
    service: 'registre',
    writePath: '/signatures',
    readPath: '/suivi',
    prefill: 2,
    decode: 4,
    services: 3,
    paidTier: 'payant',
    freeTier: 'gratuit',
    paidKey: 'cle-notaires',
    freeKey: 'cle-locateurs',
    paidCaller: 'notaires',
    freeCaller: 'locateurs'
  },
  [Firm.Velluto]: {
    zones: [
      { availabilityZone: 'milano-a', region: 'lombardia' },
      { availabilityZone: 'bergamo-b', region: 'lombardia' },
      { availabilityZone: 'venezia-a', region: 'veneto' }
    ],
    model: 'sipario-llm',
    version: 'v1',
    service: 'prenota',
    writePath: '/bookings',
    readPath: '/availability',
    prefill: 3,
    decode: 3,
    services: 3,
    paidTier: 'pagante',
    freeTier: 'gratuito',
    paidKey: 'chiave-teatri',
    freeKey: 'chiave-scuole',
    paidCaller: 'teatri',
    freeCaller: 'scuole'
  }
}
