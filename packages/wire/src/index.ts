export * from './gen/lavenderturn/v1/membership_pb'
